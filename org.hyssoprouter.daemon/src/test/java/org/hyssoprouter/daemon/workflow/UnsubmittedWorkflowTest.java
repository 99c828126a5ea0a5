package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Which workflows callers are shown, with rows of others, cancellations and refused ones. */
class UnsubmittedWorkflowTest {
    private static final int SEEDS = 60;
    private static final int STEPS = 60;
    private static final int DAEMONS = 3;
    private static final long CALL_MILLIS = 3_000;

    /** Identifiers that differ in their case, or are neighbors in the table. */
    private static final List<String> IDS =
            List.of(
                    "00000000000000aa",
                    "00000000000000AA",
                    "00000000000000ab",
                    "00000000000000a9",
                    "ffffffffffffffff",
                    "fffffffffffffffe",
                    "0000000000000000");

    /** Payload that no compression makes fit into a row. */
    private static final String TOO_LARGE = incompressible(2 * LimitedTable.MAX_ROW_BYTES);

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final List<LocalWorkflowService> mDaemons = new ArrayList<>();
    private final Map<String, Verdict> mVerdicts = new HashMap<>();
    private LimitedTable mTable = new LimitedTable();

    private static String incompressible(int length) {
        Random random = new Random(1);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < length; i++) {
            text.append((char) (' ' + random.nextInt(90)));
        }
        return text.toString();
    }

    private void startDaemons() {
        mDaemons.clear();
        for (int i = 0; i < DAEMONS; i++) {
            mDaemons.add(newDaemon());
        }
    }

    private LocalWorkflowService newDaemon() {
        LocalWorkflowService.Ports ports =
                new LocalWorkflowService.Ports(
                        mTable, mThread, mThread, new WorkflowMeters(), LimitedTable.MAX_ROW_BYTES);
        WorkflowStateCache states =
                new WorkflowStateCache(mTable, new NoOwner(), mThread, Clock.systemUTC());
        return new LocalWorkflowService(ports, states, millis -> {});
    }

    private <T> T await(CompletableFuture<T> call) {
        mThread.advance(CALL_MILLIS);
        assertTrue(call.isDone(), "call has a result");
        return call.join();
    }

    private void submit(LocalWorkflowService daemon, String id, String payload) {
        WorkflowSpec plain = SchedulerFixture.workflow(id, 1, false);
        WorkflowSpec spec =
                new WorkflowSpec(id, plain.queue(), payload, plain.steps(), plain.schedule());
        Verdict verdict = await(daemon.submit(spec, 1)).verdict();
        Verdict former = mVerdicts.getOrDefault(id, Verdict.NOT_RUN);
        mVerdicts.put(id, former == Verdict.NOT_RUN || verdict == Verdict.RAN ? verdict : former);
    }

    private void cancel(LocalWorkflowService daemon, String id, String workspace) {
        WorkflowService.CancelResult unused = await(daemon.cancel(id, workspace));
    }

    private void call(Random random) {
        LocalWorkflowService daemon = mDaemons.get(random.nextInt(DAEMONS));
        String id = IDS.get(random.nextInt(IDS.size()));
        switch (random.nextInt(7)) {
            case 0 -> submit(daemon, id, "x");
            case 1 -> submit(daemon, id, TOO_LARGE);
            case 2 -> cancel(daemon, id, random.nextBoolean() ? "" : "other");
            case 3 -> mTable.refuse(refusal(random));
            case 4 -> mTable.loseAnswers(random.nextInt(3));
            case 5 -> mDaemons.set(random.nextInt(DAEMONS), newDaemon());
            default -> compactFinished(random);
        }
    }

    private static BiFunction<PartitionTable.Write, Integer, @Nullable TableError> refusal(
            Random random) {
        return switch (random.nextInt(4)) {
            case 0 -> (write, commit) -> TableError.unavailable("store is down");
            case 1 -> (write, commit) -> TableError.rejected("row");
            case 2 -> (write, commit) -> TableError.busy("store is busy");
            default -> (write, commit) -> null;
        };
    }

    /** Finishes a workflow that was accepted and replaces its row, as the owner does. */
    private void compactFinished(Random random) {
        String id = IDS.get(random.nextInt(IDS.size()));
        if (mVerdicts.get(id) == Verdict.RAN) {
            WorkflowStatus status = new WorkflowStatus(WorkflowState.FAILED, "");
            mTable.put(Schema.STATES, Schema.POOLS_PARTITION, id, Schema.encodeState(status));
            FinishedWorkflowCompactor compactor =
                    new FinishedWorkflowCompactor(mTable, mThread, mThread);
            compactor.add(id, "");
            mThread.advance(10_000);
            compactor.compactIfDue();
        }
    }

    private void checkStates(String seed) {
        for (LocalWorkflowService daemon : mDaemons) {
            for (String id : IDS) {
                StateResult state = await(daemon.state(id, ""));
                switch (mVerdicts.getOrDefault(id, Verdict.NOT_RUN)) {
                    case NOT_RUN -> assertEquals(StateResult.absent(), state, seed + id);
                    case RAN -> assertTrue(state.state().isDefined(), seed + id);
                    default -> assertTrue(state.known(), seed + id);
                }
            }
        }
    }

    // Guards against a workflow that is shown though nobody submitted it, or though all its
    // submissions were refused.
    @Test
    void onlySubmittedWorkflowsAreShown() {
        int rows = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            mTable = new LimitedTable();
            mVerdicts.clear();
            startDaemons();
            for (int step = 0; step < STEPS; step++) {
                call(random);
                checkStates("seed " + seed + " step " + step + " ");
            }
            rows += mTable.rows(Schema.JOBS).size();
        }
        assertNotEquals(0, rows);
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
