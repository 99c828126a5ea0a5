package org.hyssoprouter.util;

/**
 * A part of the daemon with a life of its own.
 *
 * @since 0.1
 */
public interface Service {
    /** Starts the service; called once. */
    void start();

    /** Stops the service and frees what it holds; does nothing when it is not running. */
    void stop();
}
