package org.hyssoprouter.daemon;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.cell.CellModule;
import org.hyssoprouter.daemon.settings.DaemonSettings;

/**
 * Object graph of the daemon.
 *
 * @since 0.1
 */
@Singleton
@Component(modules = {ClockModule.class, TransportModule.class, CellModule.class, ApiModule.class})
public interface DaemonComponent {
    /** Returns the daemon, not yet started. */
    Daemon daemon();

    /** Creates the graph. */
    @Component.Factory
    interface Factory {
        /** Creates the graph of a daemon with these settings. */
        DaemonComponent create(@BindsInstance DaemonSettings settings);
    }
}
