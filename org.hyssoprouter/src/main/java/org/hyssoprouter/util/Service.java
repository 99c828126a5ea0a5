package org.hyssoprouter.util;

/**
 * Component of the daemon that is started and stopped.
 *
 * @since 0.1
 */
public interface Service {
    /** Starts the service; called once. */
    void start();

    /** Stops the service and releases its resources; has no effect if it is not running. */
    void stop();
}
