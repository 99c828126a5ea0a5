package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Rows that the store refuses for good or for a while. */
class RefusedRowsTest extends LargeWorkflowFixture {
    private static TableError errorOf(TableError.Kind kind) {
        return switch (kind) {
            case REJECTED -> TableError.rejected("bad row");
            case BUSY -> TableError.busy("bad row");
            case UNAVAILABLE -> TableError.unavailable("bad row");
            case UNKNOWN, CONFLICT -> TableError.unknown("bad row");
        };
    }

    private static boolean isRowOf(PartitionTable.Write write, String id) {
        return write.table().equals(Schema.RUNS) && write.name().startsWith(id);
    }

    // Guards against one job that stops all others: the store never accepts its row.
    @ParameterizedTest
    @EnumSource(
            value = TableError.Kind.class,
            names = {"REJECTED", "BUSY", "UNAVAILABLE", "UNKNOWN"})
    void workflowWhoseRowIsRefusedKeepsNoOtherFromRunning(TableError.Kind kind) {
        mTable.refuse((write, commit) -> isRowOf(write, LARGE) ? errorOf(kind) : null);
        mFixture.submit(LARGE, 300, false);
        placeAll();
        for (int i = 0; i < 60; i++) {
            mFixture.submit("small" + i);
        }
        placeAll();
        commit(1_000);
        for (int i = 0; i < 60; i++) {
            assertEquals(1, startCount("small" + i), "small" + i);
        }
        assertEquals(0, startCount(LARGE));
        assertEquals(0, mCommitter.uncommittedStartCount());
        accept(mStarts);
        end(mStarts.stream().map(TaskStart::task).toList());
        commit(1_000);
        assertEquals(WorkflowState.COMPLETE, mStates.get("small59"));
        assertEquals(60, mCommitter.durableEndSequence(SchedulerFixture.WORKER));
        mTable.refuse((write, commit) -> null);
        for (int i = 0; i < 40; i++) {
            place();
            commit(50);
        }
        assertEquals(300, startCount(LARGE));
    }

    // Guards against an owner that takes itself for replaced, or loses starts, as a commit whose
    // answer was lost had taken effect.
    @Test
    void lostAnswersLoseNoStart() {
        for (int lost = 1; lost < 30; lost++) {
            String id = "small" + lost;
            mTable.loseAnswers(lost);
            mFixture.submit(id);
            place();
            commit(5 * lost + 15);
            assertEquals(1, startCount(id), id);
        }
    }

    // Guards against an owner that takes itself for replaced: the answer to the commit that tells
    // refused rows from a store that is down was lost.
    @Test
    void lostAnswersOfProbesEndNoOwnership() {
        mTable.refuse(
                (write, commit) ->
                        isRowOf(write, LARGE) ? errorOf(TableError.Kind.REJECTED) : null);
        mFixture.submit(LARGE, 300, false);
        for (int lost = 1; lost < 12; lost++) {
            String id = "small" + lost;
            mFixture.submit(id);
            place();
            mTable.loseAnswers(lost);
            commit(300);
            assertEquals(1, startCount(id), id);
        }
        assertEquals(0, startCount(LARGE));
    }

    // Guards against a workflow that is held, as the store was down for all for a while.
    @ParameterizedTest
    @EnumSource(
            value = TableError.Kind.class,
            names = {"BUSY", "UNAVAILABLE", "UNKNOWN"})
    void noWorkflowIsHeldAfterAnOutageOfTheStore(TableError.Kind kind) {
        for (int outage = 3; outage < 40; outage++) {
            int untilCommit = mTable.commitCount() + outage;
            String id = "small" + outage;
            mTable.refuse((write, commit) -> commit < untilCommit ? errorOf(kind) : null);
            mFixture.submit(id);
            place();
            // Commits are repeated after 100 ms.
            commit(5 * outage + 15);
            assertEquals(1, startCount(id), id);
        }
    }
}
