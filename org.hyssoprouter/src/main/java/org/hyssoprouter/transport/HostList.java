package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.List;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.HostInfo;

/**
 * Port to the platform's lagging list of live and leaving hosts. Calls block.
 *
 * @since 0.1
 */
public interface HostList {
    /** Returns all hosts of the list; one that is gone from the fleet is not in it. */
    Either<TableError, List<HostInfo>> list();
}
