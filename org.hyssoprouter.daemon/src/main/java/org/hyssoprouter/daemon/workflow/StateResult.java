package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Result of a query for a workflow's state.
 *
 * @param known whether the result is certain
 * @param state state; none if there is no such workflow or the result is not certain
 * @since 0.2
 */
public record StateResult(boolean known, Option<WorkflowState> state) {
    static StateResult of(WorkflowState state) {
        return new StateResult(true, Option.some(state));
    }

    static StateResult absent() {
        return new StateResult(true, Option.none());
    }

    static StateResult unknown() {
        return new StateResult(false, Option.none());
    }
}
