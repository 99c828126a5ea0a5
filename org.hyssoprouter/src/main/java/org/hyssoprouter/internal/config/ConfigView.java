package org.hyssoprouter.internal.config;

import io.vavr.control.Option;

/**
 * Read access to the configuration that this daemon uses. A request reads it once, so that it is
 * handled under a single version.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ConfigView {
    /** Returns the current configuration, or none if none is available. */
    Option<EffectiveConfig> current();
}
