package review3;

import java.util.function.ToLongFunction;

/** Work of tasks that all end done: a duration for each task, and the same processors for all. */
record Tasks(ToLongFunction<String> durations, long cpuMillis) implements Executor.Work {
    static Tasks of(long millis, long cpuMillis) {
        return new Tasks(task -> millis, cpuMillis);
    }

    @Override
    public long millis(String task, int run) {
        return durations.applyAsLong(task);
    }

    @Override
    public long cpu(String task) {
        return cpuMillis;
    }
}
