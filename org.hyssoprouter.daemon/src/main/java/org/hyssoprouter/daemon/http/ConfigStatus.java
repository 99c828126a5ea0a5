package org.hyssoprouter.daemon.http;

import java.util.List;

/**
 * Rollout status of the newest version of the configuration.
 *
 * @param version newest version
 * @param accepted whether the version is in force on every live daemon
 * @param inForceOn names of the daemons on which the version is in force
 * @param pendingOn names of the live daemons that have not confirmed the version
 * @since 0.1
 */
public record ConfigStatus(
        long version, boolean accepted, List<String> inForceOn, List<String> pendingOn) {}
