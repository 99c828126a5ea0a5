package org.hyssoprouter.daemon.peer;

/**
 * Limit on what one daemon sends to daemons of other regions.
 *
 * @param bytesPerSecond bytes a second, over all of its connections to other regions
 * @param burstBytes bytes that may be sent at once after a pause; at least {@link #MIN_BURST_BYTES}
 * @since 0.1
 */
public record CrossRegionLimit(long bytesPerSecond, long burstBytes) {
    /** Smallest burst, which lets a chunk of the least pressing class through. */
    public static final long MIN_BURST_BYTES = 4L * Frame.CHUNK_BYTES;

    /** Checks the range of the values. */
    public CrossRegionLimit {
        if (bytesPerSecond <= 0 || burstBytes < MIN_BURST_BYTES) {
            throw new IllegalArgumentException(
                    "a link budget needs a positive rate and a burst of at least "
                            + MIN_BURST_BYTES
                            + " bytes");
        }
    }
}
