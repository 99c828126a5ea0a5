package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** Worker whose runs end at random, in any way but {@code failed}. */
final class ScriptedWorker {
    private static final long INCARNATION = 1;

    private static final EndKind[] INCOMPLETE_ENDS = {
        EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN, EndKind.ALONE
    };

    private final Random mRandom;
    private final Set<TaskKey> mDone = new HashSet<>();
    private final Set<StepKey> mDoneGangs = new HashSet<>();
    private final Map<TaskKey, Integer> mRunning = new HashMap<>();
    private final Map<TaskKey, Integer> mHighestRuns = new HashMap<>();
    private final List<RunReport.Ended> mEnds = new ArrayList<>();
    private long mLastSequence;

    ScriptedWorker(Random random) {
        mRandom = random;
    }

    /** Returns whether a run of a task, or of its gang, has ended done. */
    boolean isDone(TaskKey task) {
        return mDone.contains(task) || mDoneGangs.contains(task.step());
    }

    void startAll(PoolScheduler scheduler, List<TaskStart> starts, long nowMillis) {
        for (TaskStart start : starts) {
            if (!scheduler.confirmStart(start, nowMillis)) {
                continue;
            }
            int highest = mHighestRuns.getOrDefault(start.task(), 0);
            StartOutcome outcome = StartOutcome.ACCEPTED;
            if (mRandom.nextInt(2_000) == 0) {
                outcome = StartOutcome.NO_ROOM;
            } else if (start.run() <= highest) {
                outcome = StartOutcome.OLD_RUN;
            } else {
                mHighestRuns.put(start.task(), start.run());
                mRunning.put(start.task(), start.run());
            }
            boolean isLost = outcome == StartOutcome.ACCEPTED && mRandom.nextInt(1_000) == 0;
            scheduler.handleStartOutcome(start, isLost ? StartOutcome.UNKNOWN : outcome, nowMillis);
        }
    }

    void stopAll(PoolScheduler scheduler, long nowMillis) {
        for (TaskStop stop : scheduler.output().takeStops()) {
            mHighestRuns.merge(stop.task(), stop.run(), Math::max);
            if (Integer.valueOf(stop.run()).equals(mRunning.get(stop.task()))) {
                end(stop.task(), EndKind.STOPPED);
            }
            scheduler.handleStopReply(stop, true, nowMillis, nowMillis);
        }
    }

    /** Ends some of the runs. */
    void work(Map<String, WorkflowSpec> specs) {
        List<TaskKey> running = new ArrayList<>(mRunning.keySet());
        running.sort(Comparator.comparing(TaskKey::toString));
        for (TaskKey task : running) {
            if (!mRunning.containsKey(task) || mRandom.nextInt(3) > 0) {
                continue;
            }
            StepKey step = task.step();
            WorkflowSpec spec = Objects.requireNonNull(specs.get(step.workflow()));
            StepSpec stepSpec = spec.steps().get(step.step());
            if (mRandom.nextInt(stepSpec.gang() ? 1_000 : 25) == 0) {
                end(task, INCOMPLETE_ENDS[mRandom.nextInt(INCOMPLETE_ENDS.length)]);
            } else if (!stepSpec.gang()) {
                mDone.add(task);
                end(task, EndKind.DONE);
            } else {
                endGang(step, stepSpec.taskCount());
            }
        }
    }

    /** Members of a gang end done together, if all of one run are present. */
    private void endGang(StepKey step, int size) {
        Map<Integer, List<TaskKey>> members = new HashMap<>();
        mRunning.forEach(
                (task, run) -> {
                    if (task.step().equals(step)) {
                        members.computeIfAbsent(run, it -> new ArrayList<>()).add(task);
                    }
                });
        for (List<TaskKey> tasks : members.values()) {
            if (tasks.size() == size) {
                mDoneGangs.add(step);
                tasks.forEach(it -> end(it, EndKind.DONE));
            }
        }
    }

    private void end(TaskKey task, EndKind kind) {
        Integer run = mRunning.remove(task);
        if (run != null) {
            mEnds.add(new RunReport.Ended(++mLastSequence, task, run, kind, ""));
        }
    }

    /** Sends what runs and the ends that are not acknowledged, at times a part of them only. */
    void report(PoolScheduler scheduler, OwnerCommitter committer, long nowMillis) {
        long acknowledged = committer.durableEndSequence(SchedulerFixture.WORKER);
        mEnds.removeIf(it -> it.sequence() <= acknowledged);
        boolean isPart = mRandom.nextInt(3) == 0 && !mEnds.isEmpty();
        int count = isPart ? mRandom.nextInt(mEnds.size()) : mEnds.size();
        List<RunReport.Running> running = new ArrayList<>();
        mRunning.forEach((task, run) -> running.add(new RunReport.Running(task, run, "", 1, 0)));
        RunReport report =
                new RunReport(
                        nowMillis,
                        INCARNATION,
                        running,
                        List.copyOf(mEnds.subList(0, count)),
                        isPart);
        scheduler.handleReport(SchedulerFixture.WORKER, report, nowMillis, nowMillis);
    }
}
