package org.hyssoprouter.standin.worker;

/** Thrown when the worker refuses an order; no part of the order was executed. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    RefusedException(String message) {
        super(message);
    }
}
