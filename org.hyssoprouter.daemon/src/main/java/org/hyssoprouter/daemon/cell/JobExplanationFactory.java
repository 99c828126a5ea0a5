package org.hyssoprouter.daemon.cell;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.daemon.http.JobExplanation;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.JobView.TaskView;

/** Creates the explanation of a job from the reasons of its tasks, with a count for each reason. */
final class JobExplanationFactory {
    private JobExplanationFactory() {}

    static JobExplanation create(JobView view) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (TaskView task : view.tasks()) {
            if (!task.reason().isEmpty()) {
                counts.merge(task.reason(), 1, Integer::sum);
            }
        }
        List<JobExplanation.Reason> reasons =
                counts.entrySet().stream()
                        .map(e -> new JobExplanation.Reason(e.getValue(), e.getKey()))
                        .toList();
        return new JobExplanation(view.spec().id(), summary(view), reasons);
    }

    private static String summary(JobView view) {
        String state = view.state().name() + " on shard " + view.shard();
        return view.reason().isEmpty() ? state : state + ": " + view.reason();
    }
}
