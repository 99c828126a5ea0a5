package org.hyssoprouter.internal.config;

import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this daemon has applied; its version never decreases. Safe
 * for use by several threads.
 *
 * @since 0.1
 */
public final class ConfigHolder implements ConfigView {
    private final AtomicReference<@Nullable ResolvedConfig> mCurrent = new AtomicReference<>();

    @Override
    public Option<EffectiveConfig> current() {
        return Option.of(mCurrent.get());
    }

    /** Returns the current document, or none before the first was applied. */
    public Option<ConfigDocument> document() {
        return Option.of(mCurrent.get()).map(ResolvedConfig::document);
    }

    /** Returns the current version, or 0 before the first configuration was applied. */
    public long version() {
        ResolvedConfig current = mCurrent.get();
        return current == null ? 0 : current.version();
    }

    /**
     * Replaces the current configuration if the candidate is newer.
     *
     * @return whether the candidate was applied
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
