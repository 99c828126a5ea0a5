package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.List;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.HostInfo;

/**
 * Port to the platform's list of live and leaving hosts, which may lag behind. Calls block.
 *
 * @since 0.1
 */
public interface HostList {
    /** Returns all listed hosts; a host that has left the fleet is not listed. */
    Either<TableError, List<HostInfo>> list();
}
