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
 * A change of a shard's durable state. Replaying the events of a shard in order restores its state;
 * a snapshot is a shorter list of events that restores the same state.
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
     * @param spec what was submitted
     * @param wallMillis wall clock of the acceptance
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
     * @param reason why, for people
     * @param wallMillis wall clock of the end
     */
    record JobEnded(String job, JobState state, String reason, long wallMillis)
            implements ShardEvent {}

    /**
     * A worker was chosen for an attempt, which may have been started since.
     *
     * @param task task
     * @param attempt attempt, from 1
     * @param worker chosen worker
     * @param room room held for it
     */
    record TaskPlaced(TaskId task, int attempt, String worker, Room room) implements ShardEvent {}

    /**
     * An attempt is over and runs nowhere.
     *
     * @param task task
     * @param attempt attempt
     * @param state how it ended
     * @param usage peak usage, to learn sizes from
     * @param message reason of a failure, else empty
     */
    record TaskEnded(TaskId task, int attempt, TaskReport.State state, Room usage, String message)
            implements ShardEvent {}

    /**
     * An idempotency key was claimed for one request, which may have been sent since.
     *
     * @param customer customer
     * @param key idempotency key
     * @param requestId request that holds the claim
     * @param bodyHash hash of the body, to tell another request under the same key
     * @param wallMillis wall clock of the claim
     */
    record ClaimMade(
            String customer, String key, String requestId, String bodyHash, long wallMillis)
            implements ShardEvent {}

    /**
     * The outcome of a claimed request is known.
     *
     * @param customer customer
     * @param key idempotency key
     * @param verdict RAN with an answer, NOT_RUN (the key is free again), or MAY_HAVE_RUN
     * @param status HTTP status of the stored answer
     * @param body stored answer; empty if it was too large to keep
     * @param wallMillis wall clock of the outcome
     */
    record ClaimSettled(
            String customer, String key, Verdict verdict, int status, byte[] body, long wallMillis)
            implements ShardEvent {}

    /**
     * An operator took a worker out of use, or put it back.
     *
     * @param worker worker
     * @param drained whether it is out of use
     */
    record WorkerDrained(String worker, boolean drained) implements ShardEvent {}
}
