package org.hyssoprouter.daemon;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.cell.CellModule;
import org.hyssoprouter.daemon.settings.DaemonSettings;

/**
 * Dagger component that builds the object graph of the daemon.
 *
 * @since 0.1
 */
@Singleton
@Component(modules = {ClockModule.class, TransportModule.class, CellModule.class, ApiModule.class})
public interface DaemonComponent {
    /** Returns the daemon, not yet started. */
    Daemon daemon();

    /** Creates the component. */
    @Component.Factory
    interface Factory {
        /** Creates the object graph of a daemon with these settings. */
        DaemonComponent create(@BindsInstance DaemonSettings settings);
    }
}
