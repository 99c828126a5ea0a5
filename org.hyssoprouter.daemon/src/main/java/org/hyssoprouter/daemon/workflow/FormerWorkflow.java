package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hyssoprouter.internal.workflow.WorkflowPartRow;
import org.hyssoprouter.internal.workflow.WorkflowParts;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.jspecify.annotations.Nullable;

/**
 * Workflow as the former owner has stored it.
 *
 * @param row state of the workflow, joined from all of its rows
 * @param isDivided whether its main row holds no tasks
 * @param parts parts that its state is divided into, by name; null for one that cannot be read
 */
record FormerWorkflow(
        WorkflowRow row, boolean isDivided, Map<String, @Nullable WorkflowPartRow> parts) {
    static FormerWorkflow of(WorkflowRow main, Map<String, @Nullable WorkflowPartRow> parts) {
        List<WorkflowPartRow> readable = new ArrayList<>();
        parts.values().stream().filter(Objects::nonNull).forEach(readable::add);
        boolean isDivided =
                main.steps().isEmpty()
                        && main.endedOccurrences().isEmpty()
                        && main.ended().isEmpty()
                        && main.doneSteps().isEmpty();
        return new FormerWorkflow(WorkflowParts.join(main, readable), isDivided, parts);
    }
}
