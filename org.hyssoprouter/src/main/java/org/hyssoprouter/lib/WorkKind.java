package org.hyssoprouter.lib;

/**
 * Kind of a job, which determines its placement policy.
 *
 * @since 0.1
 */
public enum WorkKind {
    /** Long-running tasks, spread over failure domains and racks; a task that ends is replaced. */
    SERVICE,
    /** Independent tasks that run to completion and are packed tightly. */
    BATCH,
    /** Tasks that are started all together or not at all. */
    GANG
}
