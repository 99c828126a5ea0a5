package org.hyssoprouter.daemon;

import dagger.Module;
import dagger.Provides;
import java.time.Clock;
import javax.inject.Singleton;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Dagger module for the system clocks.
 *
 * @since 0.1
 */
@Module
public final class ClockModule {
    @Provides
    @Singleton
    Clock clock() {
        return Clock.systemUTC();
    }

    @Provides
    @Singleton
    MonotonicClock monotonicClock() {
        return MonotonicClock.system();
    }
}
