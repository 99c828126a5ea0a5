package org.hyssoprouter.lib;

import org.jspecify.annotations.Nullable;

/**
 * Specification of a job as submitted by an operator: tasks of equal size under one placement
 * policy.
 *
 * @param id job id, unique in the cell
 * @param customer customer whose quota the job uses
 * @param kind kind of work, which selects the placement policy
 * @param trafficClass traffic class of the job
 * @param taskCount number of tasks
 * @param room declared resource demand of each task
 * @param runTimeMillis declared run time of a task; 0 if unknown or unlimited
 * @param maxAttempts maximum number of attempts of each task before the job fails
 * @param region region to run in, or null for the customer's home region
 * @param command opaque string passed to the worker
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
