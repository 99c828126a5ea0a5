package org.hyssoprouter.daemon.workflow;

import java.util.Locale;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.internal.workflow.InterferencePair;
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
        output.takeLostRuns().forEach((cause, count) -> mMeters.countLostRuns(cause.name(), count));
        output.takeFailures()
                .forEach((cause, count) -> mMeters.countFailedWorkflows(cause.name(), count));
        output.takeBelieved().forEach(this::logBelieved);
        output.takeForgotten().forEach(this::logForgotten);
    }

    private void logDecision(SchedulerOutput.Decision decision) {
        mMeters.recordDecision(decision.action());
        LOG.log(LogEvent.DECISION, decision.subject(), decision.action(), decision.inputs());
    }

    private void logBelieved(InterferencePair pair) {
        mMeters.countInterferenceChange("believed");
        LOG.log(
                LogEvent.INTERFERENCE_BELIEVED,
                pair.slowed(),
                pair.beside(),
                format(pair.factor()),
                format(pair.lowestFactor()),
                Math.round(pair.samples()),
                pair.workers());
    }

    private void logForgotten(InterferencePair pair) {
        mMeters.countInterferenceChange("forgotten");
        LOG.log(
                LogEvent.INTERFERENCE_FORGOTTEN,
                pair.slowed(),
                pair.beside(),
                format(pair.factor()));
    }

    private static String format(double factor) {
        return String.format(Locale.ROOT, "%.2f", factor);
    }

    private void logGivenUp(SchedulerOutput.GivenUp givenUp) {
        mMeters.countGivenUpWorkflow(givenUp.queue());
        LOG.log(LogEvent.WORKFLOW_GIVEN_UP, givenUp.workflow(), givenUp.queue(), givenUp.reason());
    }
}
