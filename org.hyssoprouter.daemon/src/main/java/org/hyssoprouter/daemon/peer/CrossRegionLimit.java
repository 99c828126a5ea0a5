package org.hyssoprouter.daemon.peer;

/**
 * Limit on the bytes that one daemon sends to daemons in other regions.
 *
 * @param bytesPerSecond bytes per second, summed over all connections to other regions
 * @param burstBytes bytes that may be sent at once after an idle period; at least {@link
 *     #MIN_BURST_BYTES}
 * @since 0.1
 */
public record CrossRegionLimit(long bytesPerSecond, long burstBytes) {
    /** Smallest burst with which a chunk of the lowest traffic class can still be sent. */
    public static final long MIN_BURST_BYTES = 4L * Frame.CHUNK_BYTES;

    /**
     * Validates the limit.
     *
     * @throws IllegalArgumentException if the rate is not positive or the burst is too small
     */
    public CrossRegionLimit {
        if (bytesPerSecond <= 0 || burstBytes < MIN_BURST_BYTES) {
            throw new IllegalArgumentException(
                    "a cross-region limit needs a positive rate and a burst of at least "
                            + MIN_BURST_BYTES
                            + " bytes");
        }
    }
}
