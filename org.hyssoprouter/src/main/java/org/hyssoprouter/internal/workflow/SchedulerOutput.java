package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;

/**
 * What decisions ask for. Starts wait until the rows of the changed workflows are durable; stops
 * and requests for approval go out at once.
 *
 * @since 0.2
 */
public final class SchedulerOutput {
    private final List<TaskStart> mStarts = new ArrayList<>();
    private final List<TaskStop> mStops = new ArrayList<>();
    private final List<ApprovalRequest> mApprovalRequests = new ArrayList<>();
    private final List<Decision> mDecisions = new ArrayList<>();
    private final Set<String> mChangedWorkflows = new LinkedHashSet<>();

    /**
     * Line for the log.
     *
     * @param subject workflow, task or worker that it is about
     * @param action what was decided
     * @param inputs what decided it
     */
    public record Decision(String subject, String action, String inputs) {}

    void addStart(TaskStart order) {
        mStarts.add(order);
    }

    void addStop(TaskStop order) {
        mStops.add(order);
    }

    void addApprovalRequest(ApprovalRequest request) {
        mApprovalRequests.add(request);
    }

    void markChanged(Workflow workflow) {
        mChangedWorkflows.add(workflow.id());
    }

    void recordDecision(Object subject, String what, String inputs) {
        mDecisions.add(new Decision(subject.toString(), what, inputs));
    }

    /** Takes the starts. */
    public List<TaskStart> takeStarts() {
        return take(mStarts);
    }

    /** Takes the stops. */
    public List<TaskStop> takeStops() {
        return take(mStops);
    }

    /** Takes the requests for approval. */
    public List<ApprovalRequest> takeApprovalRequests() {
        return take(mApprovalRequests);
    }

    /** Takes the lines for the log. */
    public List<Decision> takeDecisions() {
        return take(mDecisions);
    }

    /** Takes the identifiers of the workflows whose rows have to be written. */
    public List<String> takeChangedWorkflows() {
        List<String> taken = new ArrayList<>(mChangedWorkflows);
        mChangedWorkflows.clear();
        return taken;
    }

    private static <T> List<T> take(List<T> list) {
        List<T> taken = new ArrayList<>(list);
        list.clear();
        return taken;
    }
}
