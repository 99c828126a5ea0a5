package review3;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What all executors have run, for the record and the checks. */
final class RunLog {
    private final Record mRecord;
    private final Map<String, Map<String, Integer>> mActive = new HashMap<>();
    private final Map<String, Integer> mStarts = new LinkedHashMap<>();
    private final Map<String, Map<String, Integer>> mEnds = new HashMap<>();
    private final List<String> mDoubles = new ArrayList<>();

    RunLog(Record record) {
        mRecord = record;
    }

    synchronized void started(Executor executor, String task, int run, String spec) {
        mRecord.add("%s starts %s run %d", executor.mId, task, run);
        mStarts.merge(task, 1, Integer::sum);
        Map<String, Integer> active = mActive.computeIfAbsent(task, key -> new LinkedHashMap<>());
        if (!active.isEmpty()) {
            String text =
                    "%s run %d on %s while %s run on others".formatted(
                            task, run, executor.mId, active);
            mDoubles.add(text);
            mRecord.add("TWO RUNS AT THE SAME TIME: " + text);
        }
        active.put(executor.mId, run);
    }

    synchronized void ended(Executor executor, String task, int run, String how) {
        mRecord.add("%s ends %s run %d %s", executor.mId, task, run, how);
        mEnds.computeIfAbsent(task, key -> new HashMap<>()).merge(how, 1, Integer::sum);
        Map<String, Integer> active = mActive.get(task);
        if (active != null) {
            active.remove(executor.mId, run);
        }
    }

    synchronized void acknowledged(Executor executor, String task, int run, String how) {
        mRecord.add("%s is acknowledged the end of %s run %d", executor.mId, task, run);
    }

    /** Returns the number of tasks of a job that have ended done. */
    synchronized long doneTasks(String job) {
        return mEnds.entrySet().stream()
                .filter(it -> it.getKey().startsWith(job + '.'))
                .filter(it -> it.getValue().containsKey("done"))
                .count();
    }

    /** Returns the number of starts of tasks of a job. */
    synchronized long startsOf(String job) {
        return mStarts.entrySet().stream()
                .filter(it -> it.getKey().startsWith(job + '.'))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns the number of tasks of a job that run on any executor. */
    synchronized long activeTasks(String job) {
        return mActive.entrySet().stream()
                .filter(it -> it.getKey().startsWith(job + '.'))
                .filter(it -> !it.getValue().isEmpty())
                .count();
    }

    /** Returns the number of ends of a kind of the tasks of a job. */
    synchronized long endsOf(String job, String how) {
        return mEnds.entrySet().stream()
                .filter(it -> it.getKey().startsWith(job + '.'))
                .mapToLong(it -> it.getValue().getOrDefault(how, 0))
                .sum();
    }

    /** Returns a description of each start of a task that ran on another executor already. */
    synchronized List<String> doubles() {
        return List.copyOf(mDoubles);
    }
}
