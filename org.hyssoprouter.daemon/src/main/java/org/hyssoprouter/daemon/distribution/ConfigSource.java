package org.hyssoprouter.daemon.distribution;

/**
 * Where a host gets the configuration from: another host, or the table store.
 *
 * @param name name of the host, or {@code store}
 * @param address {@code ip:port} of the host's listener for other daemons; empty for the store
 */
record ConfigSource(String name, String address) {
    /** The table store. */
    static final ConfigSource STORE = new ConfigSource("store", "");

    static ConfigSource of(ConfigHost host) {
        return new ConfigSource(host.name(), host.address());
    }

    boolean isStore() {
        return address.isEmpty();
    }
}
