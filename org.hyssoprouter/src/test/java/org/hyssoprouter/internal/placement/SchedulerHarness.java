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

/** Drives a book against workers in memory, which know nothing of the book's own records. */
final class SchedulerHarness {
    static final Room CAPACITY = new Room(4_000, 4_000, 0);

    final JobScheduler mBook = new JobScheduler("s");
    final List<ShardEvent> mJournal = new ArrayList<>();
    final Map<AttemptId, Running> mRunning = new LinkedHashMap<>();
    final List<PlacementAction> mStops = new ArrayList<>();
    Room mQuota = new Room(1L << 40, 1L << 40, 100);
    long mNowMillis = 1;

    SchedulerHarness(int workers) {
        for (int i = 0; i < workers; i++) {
            mBook.fleet().putWorker("w" + i, "r" + i % 3, CAPACITY);
            mBook.setUsable("w" + i, true, 0);
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
        mBook.accept(accepted, mNowMillis);
    }

    void cancel(String id) {
        ShardEvent.JobCancelled cancelled = new ShardEvent.JobCancelled(id);
        mJournal.add(cancelled);
        mBook.cancel(cancelled, mNowMillis, mNowMillis);
        carryOut();
    }

    /** Places what waits, and starts what was placed. */
    void place() {
        mBook.place(mNowMillis, mNowMillis, 1_000, name -> Option.some(mQuota));
        mBook.enqueueDueStops(mNowMillis);
        carryOut();
    }

    void advance(long millis) {
        mNowMillis += millis;
        place();
    }

    void end(AttemptId attempt, TaskReport.State state) {
        end(attempt, state, Room.NONE);
    }

    void end(AttemptId attempt, TaskReport.State state, Room usage) {
        mRunning.remove(attempt);
        mBook.endAttempt(attempt, state, usage, "", mNowMillis, mNowMillis);
        carryOut();
    }

    /** Lets every stop that was ordered take effect. */
    void finishStops() {
        for (PlacementAction stop : List.copyOf(mStops)) {
            end(stop.attempt(), TaskReport.State.STOPPED);
        }
        mStops.clear();
    }

    /** Hands the book the inventory of a worker. */
    void inventory(String worker) {
        List<TaskReport> reports = new ArrayList<>();
        mRunning.forEach(
                (id, running) -> {
                    if (running.worker().equals(worker)) {
                        reports.add(reportOf(id));
                    }
                });
        mBook.reconcile(new WorkerStatus(worker, mNowMillis, reports), mNowMillis, mNowMillis);
        carryOut();
    }

    void carryOut() {
        JobSchedulerOutput changes = mBook.takeOutput();
        mJournal.addAll(changes.events());
        for (PlacementAction action : changes.actions()) {
            if (action instanceof PlacementAction.Start start) {
                if (mBook.prepareStart(start.attempt(), mNowMillis, mNowMillis, mNowMillis)) {
                    mRunning.put(start.attempt(), new Running(start.worker(), start.room()));
                    mBook.markRunning(start.attempt());
                }
            } else {
                mStops.add(action);
            }
        }
    }

    /** Returns a book that was made anew from events. */
    static JobScheduler replay(List<ShardEvent> events) {
        JobScheduler book = new JobScheduler("s");
        events.forEach(event -> book.apply(event, 0));
        return book;
    }

    JobView view(String id) {
        return mBook.view(id, mNowMillis, "").get();
    }

    long runningOf(String job) {
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

    /** Where an attempt runs, and the room it was given. */
    record Running(String worker, Room room) {}
}
