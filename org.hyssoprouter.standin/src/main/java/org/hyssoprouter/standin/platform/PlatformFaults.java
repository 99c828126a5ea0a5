package org.hyssoprouter.standin.platform;

/**
 * Fault settings of the simulated platform.
 *
 * @param outage whether the table and the object store answer 503
 * @param delayMillis delay of the responses of the table and the object store
 * @param loseReplies number of commits that take effect without a response
 * @param lateWriteMillis delay before the commits counted by {@code loseReplies} take effect
 * @param hostListLagMillis minimum age of the host list that is returned
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
