package org.hyssoprouter.internal.config;

import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this daemon has seen; its version never falls.
 *
 * @since 0.1
 */
public final class ConfigHolder implements ConfigView {
    private final AtomicReference<@Nullable ResolvedConfig> mCurrent = new AtomicReference<>();

    @Override
    public Option<EffectiveConfig> current() {
        return Option.of(mCurrent.get());
    }

    /** Returns the document in force, or none before the first was applied. */
    public Option<ConfigDocument> document() {
        return Option.of(mCurrent.get()).map(ResolvedConfig::document);
    }

    /** Returns the version in force, or 0 before the first was applied. */
    public long version() {
        ResolvedConfig current = mCurrent.get();
        return current == null ? 0 : current.version();
    }

    /**
     * Applies a configuration if it is newer than the one in force.
     *
     * @return whether it was applied
     */
    public boolean apply(ResolvedConfig candidate) {
        while (true) {
            ResolvedConfig current = mCurrent.get();
            if (current != null && current.version() >= candidate.version()) {
                return false;
            }
            if (mCurrent.compareAndSet(current, candidate)) {
                return true;
            }
        }
    }
}
