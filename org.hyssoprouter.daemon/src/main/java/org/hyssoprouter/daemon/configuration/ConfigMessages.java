package org.hyssoprouter.daemon.configuration;

/** Messages between daemons about the configuration. */
final class ConfigMessages {
    private ConfigMessages() {}

    /**
     * Asks a peer which version it applies.
     *
     * @param version version that the asking daemon applies; a peer that has a lower one reads the
     *     table before it answers
     */
    record VersionQuery(long version) {}

    /**
     * Which version a daemon applies.
     *
     * @param name name of the daemon
     * @param version version in force there
     * @param fresh whether that daemon knows that there was nothing newer a moment ago; one that
     *     was paused or cut off must not vouch for others
     * @param document that version in JSON when the asking daemon has a lower one, else empty
     */
    record VersionReply(String name, long version, boolean fresh, byte[] document) {}
}
