package org.hyssoprouter.lib;

import org.jspecify.annotations.Nullable;

/**
 * What an operator submits: tasks of one size under one placement policy.
 *
 * @param id identity, unique in the cell
 * @param customer customer whose quota the job uses
 * @param kind kind of work, which selects the placement policy
 * @param trafficClass class of the job
 * @param taskCount number of tasks
 * @param room declared room of each task
 * @param runTimeMillis declared run time of a task; 0 means unknown or endless
 * @param maxAttempts attempts of each task before the job fails
 * @param region region to run in, or null for the region of the customer
 * @param command opaque text handed to the worker
 * @since 0.1
 */
public record JobSpec(
        String id,
        String customer,
        WorkKind kind,
        TrafficClass trafficClass,
        int taskCount,
        Room room,
        long runTimeMillis,
        int maxAttempts,
        @Nullable String region,
        String command) {}
