package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Answer to a question for a workflow's state.
 *
 * @param known whether the answer is certain
 * @param state state; none if there is no such workflow or it is not known
 * @since 0.2
 */
public record StateAnswer(boolean known, Option<WorkflowState> state) {
    static StateAnswer of(WorkflowState state) {
        return new StateAnswer(true, Option.some(state));
    }

    static StateAnswer absent() {
        return new StateAnswer(true, Option.none());
    }

    static StateAnswer unknown() {
        return new StateAnswer(false, Option.none());
    }
}
