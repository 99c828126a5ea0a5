package org.hyssoprouter.daemon.http;

import org.hyssoprouter.errors.Refusal;

/** Carries a refusal from a handler to the server's error handler. Never leaves the package. */
final class RefusalException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final transient Refusal mRefusal;

    RefusalException(Refusal refusal) {
        super(refusal.message(), null, false, false);
        mRefusal = refusal;
    }

    Refusal refusal() {
        return mRefusal;
    }
}
