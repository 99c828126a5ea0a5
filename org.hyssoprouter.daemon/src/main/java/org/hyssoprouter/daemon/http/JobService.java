package org.hyssoprouter.daemon.http;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;

/**
 * Submits, cancels and reports jobs for operators. Futures complete normally; failures are in the
 * {@code Either}.
 *
 * @since 0.1
 */
public interface JobService {
    /** Accepts a job. Submitting the same id and content again returns the existing job. */
    CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec);

    /** Cancels a job; has no effect on a job that has ended. */
    CompletableFuture<Either<Refusal, JobView>> cancel(String id);

    /** Returns one job. */
    CompletableFuture<Either<Refusal, JobView>> view(String id);

    /** Returns all jobs, or those of one customer when {@code customer} is not empty. */
    CompletableFuture<Either<Refusal, List<JobView>>> list(String customer);

    /** Explains for each task that does not run the reason and what was tried. */
    CompletableFuture<Either<Refusal, JobExplanation>> explain(String id);
}
