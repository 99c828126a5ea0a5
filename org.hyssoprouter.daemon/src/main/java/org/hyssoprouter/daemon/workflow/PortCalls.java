package org.hyssoprouter.daemon.workflow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;

/**
 * Turns calls of adapters that end with an exception, or not at all, into ordinary failures, so
 * that none is awaited forever.
 */
final class PortCalls {
    private static final EventLogger LOG = EventLogger.of(PortCalls.class);

    /** Limit of a call whose answer gets lost in this process; the adapters' limits are shorter. */
    private static final long CALL_LIMIT_MILLIS = 10_000;

    private PortCalls() {}

    /**
     * Returns the result of a call or, if the call ends with an exception or not at all, a failure
     * in its place.
     *
     * @param name name of the call, for the log
     * @param failure returns the failure for the text of an exception
     */
    static <T> CompletableFuture<T> recover(
            CompletableFuture<T> call, String name, Function<String, T> failure) {
        return call.orTimeout(CALL_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(
                        e -> {
                            LOG.log(LogEvent.TASK_FAILED, e, name, e);
                            return failure.apply(String.valueOf(e));
                        });
    }
}
