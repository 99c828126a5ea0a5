package org.hyssoprouter.standin.worker;

/** An order that the worker refuses and of which nothing was run. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    RefusedException(String message) {
        super(message);
    }
}
