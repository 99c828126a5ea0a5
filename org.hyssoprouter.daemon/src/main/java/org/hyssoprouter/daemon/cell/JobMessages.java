package org.hyssoprouter.daemon.cell;

import io.vavr.control.Either;
import java.util.List;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.placement.WorkerLoad;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;
import org.jspecify.annotations.Nullable;

/** Messages between daemons about jobs and workers. */
final class JobMessages {
    private JobMessages() {}

    /** Submits a job to its home shard. */
    record JobSubmit(String shard, JobSpec spec) {}

    /** Identifies a job of a shard to view or cancel. */
    record JobQuery(String shard, String job) {}

    /** Queries the jobs of a shard. */
    record JobListQuery(String shard, int limit) {}

    /** Drains a worker or ends its drain. */
    record DrainOrder(String shard, String worker, boolean drained) {}

    /** Queries the workers of a shard. */
    record HostQuery(String shard) {}

    /** Load of each worker of a shard. */
    record HostReply(List<WorkerLoad> loads) {}

    /** Outcome of a {@link DrainOrder}; the refusal is null if the order was applied. */
    record DrainReply(@Nullable Refusal refusal) {
        static DrainReply of(Either<Refusal, Boolean> result) {
            return new DrainReply(result.isLeft() ? result.getLeft() : null);
        }
    }

    /** View of a job or a refusal; both are null if the shard has no such job. */
    record JobReply(@Nullable JobView view, @Nullable Refusal refusal) {
        static JobReply of(Either<Refusal, JobView> result) {
            return result.fold(
                    refusal -> new JobReply(null, refusal), view -> new JobReply(view, null));
        }
    }

    /** Jobs of a shard. */
    record JobListReply(List<JobView> views) {}

    /** Row {@code job/ID}: home shard of a job. */
    record JobHome(String shard) {}
}
