package org.hyssoprouter.daemon.http;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;

/**
 * Operators' work with jobs. Futures complete normally; failures are in the {@code Either}.
 *
 * @since 0.1
 */
public interface JobService {
    /** Accepts a job; a repeat with the same id and content returns the job as it is. */
    CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec);

    /** Cancels a job; one that has ended is left as it is. */
    CompletableFuture<Either<Refusal, JobView>> cancel(String id);

    /** Returns one job. */
    CompletableFuture<Either<Refusal, JobView>> view(String id);

    /** Returns all jobs, or those of one customer when {@code customer} is not empty. */
    CompletableFuture<Either<Refusal, List<JobView>>> list(String customer);

    /** Says for each task that does not run why, and what was tried. */
    CompletableFuture<Either<Refusal, JobExplanation>> explain(String id);
}
