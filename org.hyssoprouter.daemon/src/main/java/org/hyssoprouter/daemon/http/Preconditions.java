package org.hyssoprouter.daemon.http;

import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.EffectiveConfig;

/** Checks the conditions that must hold before a call has any effect. */
final class Preconditions {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private Preconditions() {}

    /** Throws NOT_READY unless the daemon serves calls. */
    static void requireServing(Readiness readiness) {
        if (!readiness.isServing()) {
            throw notReady("this daemon is starting or stopping; retry at another daemon");
        }
    }

    /** Returns the configuration in force, or throws NOT_READY if none is current. */
    static EffectiveConfig requireConfig(ConfigView view) {
        return view.current()
                .getOrElseThrow(() -> notReady("this daemon has no current configuration"));
    }

    private static RefusalException notReady(String message) {
        return new RefusalException(
                Refusal.retryLater(RefusalCode.NOT_READY, message, RETRY_AFTER_MILLIS));
    }
}
