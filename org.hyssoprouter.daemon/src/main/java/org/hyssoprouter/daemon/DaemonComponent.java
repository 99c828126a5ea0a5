package org.hyssoprouter.daemon;

import dagger.Component;
import java.time.Clock;
import javax.inject.Singleton;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Object graph of the daemon.
 *
 * @since 0.1
 */
@Singleton
@Component(modules = ClockModule.class)
public interface DaemonComponent {
    /** Returns the wall clock. */
    Clock clock();

    /** Returns the monotonic clock. */
    MonotonicClock monotonicClock();
}
