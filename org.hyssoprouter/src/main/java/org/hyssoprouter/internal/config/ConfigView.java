package org.hyssoprouter.internal.config;

import io.vavr.control.Option;

/**
 * The configuration in force at this daemon; each request reads it once.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ConfigView {
    /** Returns the newest version seen, or none before the first was read. */
    Option<EffectiveConfig> current();
}
