package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.jspecify.annotations.Nullable;

/**
 * Answer to a {@link WorkflowCall}; only the fields of the call's kind are set.
 *
 * @param submitted result of a submission, or null
 * @param known whether the state is certain
 * @param state state, or null if there is no such workflow
 * @param cancelled result of a cancellation, or null
 */
record WorkflowReply(
        @Nullable SubmitResult submitted,
        boolean known,
        @Nullable WorkflowState state,
        WorkflowService.@Nullable CancelResult cancelled) {
    static WorkflowReply of(SubmitResult result) {
        return new WorkflowReply(result, false, null, null);
    }

    static WorkflowReply of(StateResult result) {
        return new WorkflowReply(null, result.known(), result.state().getOrNull(), null);
    }

    static WorkflowReply of(WorkflowService.CancelResult result) {
        return new WorkflowReply(null, false, null, result);
    }

    StateResult toStateResult() {
        return new StateResult(known, Option.of(state));
    }
}
