package org.hyssoprouter.internal.journal;

import java.util.List;

/**
 * Source of parts for the groups of a {@link GroupWriter}.
 *
 * @since 0.1
 */
public interface WriteSource {
    /** Returns the parts for the next group, in the order in which they are to take effect. */
    List<GroupPart> takeParts();

    /** Drops what waits past its time bound with {@code UNAVAILABLE}. */
    void expire();
}
