package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.internal.workflow.SchedulerOutput;

/** Logs and counts the decisions of a pool owner's scheduler. */
final class DecisionLogger {
    private static final EventLogger LOG = EventLogger.of(DecisionLogger.class);

    private final WorkflowMeters mMeters;

    DecisionLogger(WorkflowMeters meters) {
        mMeters = meters;
    }

    /** Takes the decisions from the output of a scheduler and logs them. */
    void log(SchedulerOutput output) {
        output.takeDecisions().forEach(this::logDecision);
        output.takeGivenUp().forEach(this::logGivenUp);
    }

    private void logDecision(SchedulerOutput.Decision decision) {
        mMeters.recordDecision(decision.action());
        LOG.log(LogEvent.DECISION, decision.subject(), decision.action(), decision.inputs());
    }

    private void logGivenUp(SchedulerOutput.GivenUp givenUp) {
        mMeters.countGivenUpWorkflow(givenUp.queue());
        LOG.log(LogEvent.WORKFLOW_GIVEN_UP, givenUp.workflow(), givenUp.queue(), givenUp.reason());
    }
}
