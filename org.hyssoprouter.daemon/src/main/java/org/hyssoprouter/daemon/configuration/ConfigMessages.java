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
     * @param document that version in JSON when the asking daemon has a lower one, else empty
     */
    record VersionReply(String name, long version, byte[] document) {}
}
