package org.hyssoprouter.internal.journal;

import java.util.List;

/**
 * Source of parts for the groups of a {@link GroupWriter}.
 *
 * @since 0.1
 */
public interface WriteSource {
    /** Removes and returns the parts for the next group, in the order in which they apply. */
    List<GroupPart> takeParts();

    /** Fails the queued parts whose deadline has passed with {@code UNAVAILABLE}. */
    void expire();
}
