package org.hyssoprouter.internal.journal;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.TaskReport;

/**
 * Change of a shard's durable state. Replaying the events of a shard in order restores its state; a
 * snapshot is a shorter list of events that restores the same state.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ShardEvent.JobAccepted.class, name = "ja"),
    @JsonSubTypes.Type(value = ShardEvent.JobCancelled.class, name = "jc"),
    @JsonSubTypes.Type(value = ShardEvent.JobEnded.class, name = "je"),
    @JsonSubTypes.Type(value = ShardEvent.TaskPlaced.class, name = "tp"),
    @JsonSubTypes.Type(value = ShardEvent.TaskEnded.class, name = "te"),
    @JsonSubTypes.Type(value = ShardEvent.ClaimMade.class, name = "cm"),
    @JsonSubTypes.Type(value = ShardEvent.ClaimSettled.class, name = "cs"),
    @JsonSubTypes.Type(value = ShardEvent.WorkerDrained.class, name = "wd")
})
public sealed interface ShardEvent {
    /**
     * A job was accepted.
     *
     * @param spec submitted job
     * @param wallMillis wall-clock time of the acceptance, in milliseconds
     */
    record JobAccepted(JobSpec spec, long wallMillis) implements ShardEvent {}

    /**
     * An operator cancelled a job.
     *
     * @param job id of the job
     */
    record JobCancelled(String job) implements ShardEvent {}

    /**
     * A job reached its final state.
     *
     * @param job id of the job
     * @param state final state
     * @param reason reason for operators to read
     * @param wallMillis wall-clock time of the end, in milliseconds
     */
    record JobEnded(String job, JobState state, String reason, long wallMillis)
            implements ShardEvent {}

    /**
     * A worker was chosen for an attempt of a task; the attempt may have been started since.
     *
     * @param task task that is placed
     * @param attempt number of the attempt, from 1
     * @param worker chosen worker
     * @param room resources reserved for the attempt
     */
    record TaskPlaced(TaskId task, int attempt, String worker, Room room) implements ShardEvent {}

    /**
     * An attempt of a task has ended and runs on no worker.
     *
     * @param task task that was attempted
     * @param attempt number of the attempt, from 1
     * @param state final state of the attempt
     * @param usage peak usage, from which sizes of later attempts are estimated
     * @param message reason of a failure, otherwise empty
     */
    record TaskEnded(TaskId task, int attempt, TaskReport.State state, Room usage, String message)
            implements ShardEvent {}

    /**
     * An idempotency key was claimed for a request; the request may have been sent since.
     *
     * @param customer customer that sent the request
     * @param key idempotency key
     * @param requestId request that holds the claim
     * @param bodyHash hash of the body, to detect a different request under the same key
     * @param wallMillis wall-clock time of the claim, in milliseconds
     */
    record ClaimMade(
            String customer, String key, String requestId, String bodyHash, long wallMillis)
            implements ShardEvent {}

    /**
     * The outcome of a request that claimed an idempotency key was recorded.
     *
     * @param customer customer that sent the request
     * @param key idempotency key
     * @param verdict RAN with an answer, NOT_RUN (the key can be claimed again), or MAY_HAVE_RUN
     * @param status HTTP status of the stored answer
     * @param body body of the stored answer; empty if it was too large to store
     * @param wallMillis wall-clock time of the outcome, in milliseconds
     */
    record ClaimSettled(
            String customer, String key, Verdict verdict, int status, byte[] body, long wallMillis)
            implements ShardEvent {}

    /**
     * An operator drained a worker, or returned it to use.
     *
     * @param worker name of the worker
     * @param drained whether the worker is drained
     */
    record WorkerDrained(String worker, boolean drained) implements ShardEvent {}
}
