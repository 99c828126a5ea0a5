package org.hyssoprouter.internal.placement;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerStatus;

/** Runs a scheduler with simulated workers that track running attempts independently of it. */
final class SchedulerHarness {
    static final Room CAPACITY = new Room(4_000, 4_000, 0);

    final JobScheduler mScheduler = new JobScheduler("s");
    final List<ShardEvent> mJournal = new ArrayList<>();
    final Map<AttemptId, Running> mRunning = new LinkedHashMap<>();
    final List<PlacementAction> mStops = new ArrayList<>();
    Room mQuota = new Room(1L << 40, 1L << 40, 100);
    long mNowMillis = 1;

    SchedulerHarness(int workers) {
        for (int i = 0; i < workers; i++) {
            mScheduler.fleet().putWorker("w" + i, "r" + i % 3, CAPACITY);
            mScheduler.setUsable("w" + i, true, 0);
        }
    }

    void submit(String id, WorkKind kind, TrafficClass trafficClass, int tasks, long size) {
        submit(id, "c", kind, trafficClass, tasks, size, 0);
    }

    void submit(
            String id,
            String customer,
            WorkKind kind,
            TrafficClass trafficClass,
            int tasks,
            long size,
            long runTimeMillis) {
        Room room = new Room(size, size, 0);
        JobSpec spec =
                new JobSpec(
                        id, customer, kind, trafficClass, tasks, room, runTimeMillis, 3, null, id);
        ShardEvent.JobAccepted accepted = new ShardEvent.JobAccepted(spec, mNowMillis);
        mJournal.add(accepted);
        mScheduler.accept(accepted, mNowMillis);
    }

    void cancel(String id) {
        ShardEvent.JobCancelled cancelled = new ShardEvent.JobCancelled(id);
        mJournal.add(cancelled);
        mScheduler.cancel(cancelled, mNowMillis, mNowMillis);
        applyOutput();
    }

    /** Places waiting tasks and applies the resulting starts and stops. */
    void place() {
        mScheduler.place(mNowMillis, mNowMillis, 1_000, name -> Option.some(mQuota));
        mScheduler.enqueueDueStops(mNowMillis);
        applyOutput();
    }

    void advance(long millis) {
        mNowMillis += millis;
        place();
    }

    void endAttempt(AttemptId attempt, TaskReport.State state) {
        endAttempt(attempt, state, Room.NONE);
    }

    void endAttempt(AttemptId attempt, TaskReport.State state, Room usage) {
        mRunning.remove(attempt);
        mScheduler.endAttempt(attempt, state, usage, "", mNowMillis, mNowMillis);
        applyOutput();
    }

    /** Ends every attempt for which a stop was sent. */
    void finishStops() {
        for (PlacementAction stop : List.copyOf(mStops)) {
            endAttempt(stop.attempt(), TaskReport.State.STOPPED);
        }
        mStops.clear();
    }

    /** Reports the running attempts of a worker to the scheduler. */
    void reportInventory(String worker) {
        List<TaskReport> reports = new ArrayList<>();
        mRunning.forEach(
                (id, running) -> {
                    if (running.worker().equals(worker)) {
                        reports.add(reportOf(id));
                    }
                });
        mScheduler.reconcile(new WorkerStatus(worker, mNowMillis, reports), mNowMillis, mNowMillis);
        applyOutput();
    }

    /** Journals the new events, starts the new attempts and collects the stops. */
    void applyOutput() {
        JobSchedulerOutput output = mScheduler.takeOutput();
        mJournal.addAll(output.events());
        for (PlacementAction action : output.actions()) {
            if (action instanceof PlacementAction.Start start) {
                if (mScheduler.prepareStart(start.attempt(), mNowMillis, mNowMillis, mNowMillis)) {
                    mRunning.put(start.attempt(), new Running(start.worker(), start.room()));
                    mScheduler.markRunning(start.attempt());
                }
            } else {
                mStops.add(action);
            }
        }
    }

    /** Returns a new scheduler restored from events. */
    static JobScheduler replay(List<ShardEvent> events) {
        JobScheduler scheduler = new JobScheduler("s");
        events.forEach(event -> scheduler.apply(event, 0));
        return scheduler;
    }

    JobView view(String id) {
        return mScheduler.view(id, mNowMillis, "").get();
    }

    long runningCount(String job) {
        return mRunning.keySet().stream().filter(id -> id.task().job().equals(job)).count();
    }

    Room usedOn(String worker) {
        return mRunning.values().stream()
                .filter(running -> running.worker().equals(worker))
                .map(Running::room)
                .reduce(Room.NONE, Room::plus);
    }

    private static TaskReport reportOf(AttemptId id) {
        return new TaskReport(id.task(), id.attempt(), TaskReport.State.RUNNING, Room.NONE, "");
    }

    /** Worker of a running attempt, and the room held for it. */
    record Running(String worker, Room room) {}
}
