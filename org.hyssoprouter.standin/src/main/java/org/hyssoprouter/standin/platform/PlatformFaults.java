package org.hyssoprouter.standin.platform;

/**
 * Faults of the platform.
 *
 * @param outage whether table and object store answer 503
 * @param delayMillis time by which answers of table and object store are late
 * @param loseReplies number of commits that take effect and are not answered
 * @param lateWriteMillis time by which the commits of {@code loseReplies} take effect late
 * @param hostListLagMillis age of what the host list says
 * @param hostListOutage whether the host list answers 503
 * @since 0.1
 */
public record PlatformFaults(
        boolean outage,
        long delayMillis,
        int loseReplies,
        long lateWriteMillis,
        long hostListLagMillis,
        boolean hostListOutage) {
    static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 0, false);

    PlatformFaults withLoseReplies(int count) {
        return new PlatformFaults(
                outage, delayMillis, count, lateWriteMillis, hostListLagMillis, hostListOutage);
    }
}
