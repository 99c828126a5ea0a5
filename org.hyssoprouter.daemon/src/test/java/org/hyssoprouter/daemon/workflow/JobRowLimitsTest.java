package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.junit.jupiter.api.Test;

/** Submissions whose rows are large, and rows that the store rejects. */
class JobRowLimitsTest {
    private final SteppedExecutor mThread = new SteppedExecutor();
    private final LimitedTable mTable = new LimitedTable();
    private final LocalWorkflowService mService =
            new LocalWorkflowService(
                    new LocalWorkflowService.Ports(
                            mTable,
                            mThread,
                            mThread,
                            new WorkflowMeters(),
                            LimitedTable.MAX_ROW_BYTES),
                    new WorkflowStateCache(mTable, new NoOwner(), mThread, Clock.systemUTC()),
                    millis -> {});

    private static WorkflowSpec workflow(String id, int steps, String image) {
        List<StepSpec> all = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            StepSpec.Behavior behavior =
                    new StepSpec.Behavior(false, false, false, false, 0, image + i, 0);
            all.add(
                    new StepSpec(
                            1,
                            new Room(100 + i, 1 << 20, 0),
                            500 + i,
                            i == 0 ? List.of() : List.of(i - 1),
                            false,
                            StepSpec.Limits.NONE,
                            behavior));
        }
        return new WorkflowSpec(id, "q", "payload", all, WorkflowSpec.Schedule.ONCE);
    }

    private SubmitResult submit(WorkflowSpec spec) {
        CompletableFuture<SubmitResult> result = mService.submit(spec, 1);
        mThread.advance(1_000);
        return result.join();
    }

    // Guards against a job with many steps that is refused with 503 for ever.
    @Test
    void jobWithManyStepsIsStoredAndReadBack() throws Exception {
        WorkflowSpec spec = workflow("1a2b3c4d5e6f7a8b", 1_500, "image-");
        assertEquals(Verdict.RAN, submit(spec).verdict());
        byte[] row = Objects.requireNonNull(mTable.rows(Schema.JOBS).get(0).value());
        assertEquals(spec.steps(), Schema.decodeJob(row).steps());
        assertEquals("", Schema.workspaceOfJob(row));
    }

    // Guards against a submission that no attempt can store, and that asks to be repeated.
    @Test
    void jobThatIsTooLargeEvenCompressedIsRefusedForGood() {
        Random random = new Random(1);
        StringBuilder image = new StringBuilder();
        while (image.length() < 200_000) {
            image.append(Long.toHexString(random.nextLong()));
        }
        SubmitResult result = submit(workflow("1a2b3c4d5e6f7a8b", 1, image.toString()));
        assertEquals(Verdict.NOT_RUN, result.verdict());
        assertEquals(0, result.retryAfterMillis());
        assertTrue(result.overLimit());
        assertTrue(result.reason().startsWith("workflow: expected at most"), result.reason());
        assertEquals(0, mTable.commitCount());
    }

    // Guards against jobs that are refused because the store rejects the row of another one.
    @Test
    void rejectedJobFailsByItself() {
        String rejected = "00000000000000ff";
        mTable.refuse(
                (write, commit) ->
                        write.name().equals(rejected) ? TableError.rejected("bad row") : null);
        JobWriter writer = new JobWriter(mTable, "j0", mThread, mThread, millis -> {});
        List<CompletableFuture<SubmitResult>> results = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            results.add(writer.write("job" + i, new byte[] {3}));
            if (i == 50) {
                results.add(writer.write(rejected, new byte[] {3}));
            }
        }
        mThread.advance(5_000);
        for (int i = 0; i < results.size(); i++) {
            SubmitResult result = results.get(i).join();
            assertEquals(i == 51 ? Verdict.NOT_RUN : Verdict.RAN, result.verdict(), "job " + i);
        }
        assertTrue(results.get(51).join().overLimit());
        assertEquals(100, mTable.rows(Schema.JOBS).size());
    }

    // Guards against finished jobs whose full rows are kept as more than one commit has ended.
    @Test
    void allFinishedJobsAreCompacted() {
        FinishedWorkflowCompactor compactor =
                new FinishedWorkflowCompactor(mTable, mThread, mThread);
        mTable.refuse(
                (write, commit) -> commit <= 2 ? TableError.unavailable("store is down") : null);
        int count = 0;
        for (int i = 0; count < 200; i++) {
            String id = "%016x".formatted(i);
            if (Schema.jobPartition(id).equals("j3")) {
                compactor.add(id, "");
                count++;
            }
        }
        for (int i = 0; i < 10; i++) {
            mThread.advance(2_000);
            compactor.compactIfDue();
        }
        mThread.advance(1);
        assertEquals(0, mTable.tooLargeCount());
        assertEquals(200, mTable.rows(Schema.JOBS).size());
    }

    private static final class NoOwner implements WorkflowStateCache.OwnerListener {
        @Override
        public void onOwnerRow(Option<OwnerRow> row, long version) {}

        @Override
        public void onSynced(long storeMillis) {}

        @Override
        public void onReadFailed() {}
    }
}
