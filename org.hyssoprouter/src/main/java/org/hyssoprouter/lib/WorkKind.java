package org.hyssoprouter.lib;

/**
 * Kind of a job, which selects its placement policy.
 *
 * @since 0.1
 */
public enum WorkKind {
    /** Long-running tasks, spread over failure domains and racks; a task that ends is replaced. */
    SERVICE,
    /** Independent tasks that run to completion and are packed tightly. */
    BATCH,
    /** Tasks that must all start together or not at all. */
    GANG
}
