package org.hyssoprouter.daemon.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Runs the threads of several daemons one task at a time on a simulated clock. While a task waits
 * for the table, or because its daemon is frozen, the tasks of other threads run.
 */
final class SimulatedTime {
    private final List<SimulatedThread> mThreads = new ArrayList<>();
    private final Runnable mAfterEachTask;
    private long mNowMillis;
    private long mSequence;

    SimulatedTime(Runnable afterEachTask) {
        mAfterEachTask = afterEachTask;
    }

    long millis() {
        return mNowMillis;
    }

    /** Returns a factory of threads that run only while the condition is true. */
    OwnershipThreads threads(BooleanSupplier canRun) {
        return new OwnershipThreads() {
            @Override
            public SerialExecutor newExecutor(String name) {
                return newThread(canRun);
            }

            @Override
            public Service newWriterThread(GroupWriter writer) {
                return new SteppedWriter(newThread(canRun), writer);
            }
        };
    }

    SimulatedThread newThread(BooleanSupplier canRun) {
        SimulatedThread thread = new SimulatedThread(canRun);
        mThreads.add(thread);
        return thread;
    }

    void remove(BooleanSupplier canRun) {
        mThreads.removeIf(thread -> thread.mCanRun == canRun);
    }

    /** Runs all tasks that are due until that time, and sets the clock to it. */
    void runUntil(long untilMillis) {
        SimulatedThread next = next(untilMillis);
        while (next != null) {
            next.runOne();
            mAfterEachTask.run();
            next = next(untilMillis);
        }
        mNowMillis = Math.max(mNowMillis, untilMillis);
    }

    private @Nullable SimulatedThread next(long untilMillis) {
        return mThreads.stream()
                .filter(thread -> thread.isDue(untilMillis))
                .min(Comparator.comparing(SimulatedThread::dueMillis))
                .orElse(null);
    }

    private record Task(long atMillis, long sequence, Runnable body) {}

    /** Simulated thread, which runs one task at a time. */
    final class SimulatedThread implements SerialExecutor {
        private final PriorityQueue<Task> mTasks =
                new PriorityQueue<>(
                        Comparator.comparingLong(Task::atMillis).thenComparing(Task::sequence));
        private final BooleanSupplier mCanRun;
        private boolean mBusy;
        private boolean mStopped;

        SimulatedThread(BooleanSupplier canRun) {
            mCanRun = canRun;
        }

        private boolean isDue(long untilMillis) {
            return !mBusy
                    && !mTasks.isEmpty()
                    && dueMillis() <= untilMillis
                    && mCanRun.getAsBoolean();
        }

        private long dueMillis() {
            return mTasks.element().atMillis();
        }

        private void runOne() {
            Task task = mTasks.remove();
            mNowMillis = Math.max(mNowMillis, task.atMillis());
            mBusy = true;
            task.body().run();
            mBusy = false;
        }

        @Override
        public void execute(Runnable task) {
            schedule(task, 0);
        }

        @Override
        public void schedule(Runnable task, long delayMillis) {
            if (!mStopped) {
                mTasks.add(new Task(mNowMillis + delayMillis, mSequence++, task));
            }
        }

        @Override
        public void scheduleWithFixedDelay(Runnable task, long delayMillis) {
            Runnable runAndReschedule =
                    () -> {
                        task.run();
                        scheduleNext(task, delayMillis);
                    };
            execute(runAndReschedule);
        }

        private void scheduleNext(Runnable task, long delayMillis) {
            schedule(
                    () -> {
                        task.run();
                        scheduleNext(task, delayMillis);
                    },
                    delayMillis);
        }

        @Override
        public void shutdownNow() {
            mStopped = true;
            mTasks.clear();
        }

        @Override
        public void shutdown(long timeoutMillis) {
            shutdownNow();
        }
    }

    private record SteppedWriter(SimulatedThread thread, GroupWriter writer) implements Service {
        @Override
        public void start() {
            thread.execute(this::step);
        }

        private void step() {
            // Signals are not delivered: the step runs at least every 10 ms and finds pending
            // parts.
            thread.schedule(this::step, Math.max(1, Math.min(10, writer.step())));
        }

        @Override
        public void stop() {
            thread.shutdownNow();
        }
    }
}
