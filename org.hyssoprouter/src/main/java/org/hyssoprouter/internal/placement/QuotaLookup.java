package org.hyssoprouter.internal.placement;

import io.vavr.control.Option;
import org.hyssoprouter.lib.Room;

/**
 * Looks up customer quotas in one version of the configuration.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface QuotaLookup {
    /** Returns the room that a customer's tasks may use, or none for an unknown customer. */
    Option<Room> quotaOf(String customer);
}
