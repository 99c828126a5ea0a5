package org.hyssoprouter.daemon.configuration;

/** Defines the messages by which daemons compare their configuration versions. */
final class ConfigMessages {
    private ConfigMessages() {}

    /**
     * Requests the configuration version that a peer applies.
     *
     * @param version version that the requesting daemon applies; a peer with a lower version reads
     *     the table before it answers
     */
    record VersionQuery(long version) {}

    /**
     * Reports the configuration version that a daemon applies.
     *
     * @param name name of the replying daemon
     * @param version version that it applies
     * @param fresh whether a recent check of that daemon found no newer version; if false, the
     *     daemon may have been paused or disconnected, and its version confirms nothing
     * @param document that version in JSON if the requesting daemon has a lower one, else empty
     */
    record VersionReply(String name, long version, boolean fresh, byte[] document) {}
}
