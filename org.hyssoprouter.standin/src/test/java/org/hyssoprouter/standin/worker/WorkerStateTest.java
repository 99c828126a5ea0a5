package org.hyssoprouter.standin.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Clock;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.transport.TaskReport.State;
import org.hyssoprouter.transport.WorkerClient.StopMode;
import org.hyssoprouter.transport.WorkerStatus;
import org.junit.jupiter.api.Test;

class WorkerStateTest {
    private static final Room CAPACITY = new Room(1_000, 1_000, 0);

    private final AtomicLong mNowMillis = new AtomicLong(50);
    private final WorkerState mState =
            new WorkerState("w", CAPACITY, mNowMillis::get, Clock.systemUTC());

    @Test
    void startRequiresLiveLeaseOfSameEpoch() throws Exception {
        assertThrows(RefusedException.class, () -> mState.start(startOrder(1, 0, 1), false));
        renew(1);
        assertEquals(State.RUNNING, mState.start(startOrder(1, 0, 1), false).state());
        assertThrows(RefusedException.class, () -> mState.start(startOrder(2, 1, 1), false));
        assertThrows(RefusedException.class, () -> renew(1));
    }

    @Test
    void expiredLeaseStopsTasksBeforeNextCall() throws Exception {
        renew(1);
        mState.start(startOrder(1, 0, 1), false);
        mNowMillis.addAndGet(100);
        assertEquals(State.LEASE_LAPSED, renew(1).tasks().get(0).state());
    }

    @Test
    void refusesStartAfterDeadlineOrWithOtherAttemptRunning() throws Exception {
        renew(1);
        mState.start(startOrder(1, 0, 1), false);
        assertThrows(RefusedException.class, () -> mState.start(startOrder(1, 0, 2), false));
        assertEquals(1, mState.start(startOrder(1, 0, 1), false).attempt());
        mNowMillis.set(91);
        assertThrows(RefusedException.class, () -> mState.start(startOrder(1, 1, 1), false));
    }

    @Test
    void startAboveCapacityIsRunAndCounted() throws Exception {
        renew(1);
        mState.start(startOrder(1, 0, 1), false);
        assertEquals(0, mState.history().overfills());
        mState.start(startOrder(1, 1, 1), false);
        assertEquals(1, mState.history().overfills());
    }

    @Test
    void stopBeforeStartPreventsStart() throws Exception {
        renew(1);
        mState.stop(new StopOrder("s", 1, new TaskId("j", 0), 1, StopMode.KILL));
        assertEquals(State.STOPPED, mState.start(startOrder(1, 0, 1), false).state());
    }

    @Test
    void renewalAfterDeadlineDoesNotExtendLease() throws Exception {
        renew(1);
        mState.start(startOrder(1, 0, 1), false);
        mNowMillis.addAndGet(50);
        LeaseRenewal late = new LeaseRenewal("s", 1, 100, mNowMillis.get() - 1, List.of());
        assertThrows(RefusedException.class, () -> mState.renew(late));
        mNowMillis.addAndGet(50);
        assertEquals(State.LEASE_LAPSED, renew(1).tasks().get(0).state());
    }

    @Test
    void endedAttemptIsRemovedOnceAcknowledged() throws Exception {
        renew(1);
        mState.start(startOrder(1, 0, 1), true);
        assertEquals(State.FAILED, renew(1).tasks().get(0).state());
        var ended = new LeaseRenewal.AttemptId(new TaskId("j", 0), 1);
        assertEquals(
                0, mState.renew(new LeaseRenewal("s", 1, 100, 0, List.of(ended))).tasks().size());
    }

    private WorkerStatus renew(long epoch) throws RefusedException {
        return mState.renew(new LeaseRenewal("s", epoch, 100, 0, List.of()));
    }

    private static StartOrder startOrder(long epoch, int index, int attempt) {
        TaskId task = new TaskId("j", index);
        return new StartOrder("s", epoch, task, attempt, 90, new Room(600, 1, 0), 0, "");
    }
}
