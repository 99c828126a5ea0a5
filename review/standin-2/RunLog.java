import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps when tasks ran, as the executors saw it. */
final class RunLog implements Executor.Observer {
    /** A run; its end is negative while it is active. */
    static final class Span {
        final String mTask;
        final int mRun;
        final String mExecutor;
        final String mKind;
        final double mStart;
        double mEnd = -1;
        String mHow = "";

        Span(String task, int run, String executor, String kind, double start) {
            mTask = task;
            mRun = run;
            mExecutor = executor;
            mKind = kind;
            mStart = start;
        }
    }

    private final Record mRecord;
    private final List<Span> mSpans = new ArrayList<>();
    private final Map<String, Span> mActive = new HashMap<>();
    private final boolean mVerbose;

    RunLog(Record record, boolean verbose) {
        mRecord = record;
        mVerbose = verbose;
    }

    @Override
    public synchronized void onStarted(Executor executor, String task, int run) {
        Span span = new Span(task, run, executor.mId, executor.kind(), mRecord.seconds());
        mSpans.add(span);
        mActive.put(executor.mId + task, span);
        if (mVerbose) {
            mRecord.add(executor.mId + " starts " + task + " run " + run);
        }
    }

    @Override
    public synchronized void onEnded(Executor executor, String task, int run, String how, long workedMillis) {
        Span span = mActive.remove(executor.mId + task);
        if (span != null) {
            span.mEnd = mRecord.seconds();
            span.mHow = how;
        }
        if (mVerbose) {
            mRecord.add(executor.mId + " ends " + task + " run " + run + ": " + how + " after " + workedMillis + " ms");
        }
    }

    synchronized List<Span> spans() {
        return new ArrayList<>(mSpans);
    }

    /** Returns the runs of a job, or of one task. */
    synchronized List<Span> spansOf(String prefix) {
        return new ArrayList<>(mSpans.stream().filter(it -> it.mTask.startsWith(prefix)).toList());
    }

    /** Returns the longest time from {@code from} to {@code to} in which nothing with a prefix ran. */
    synchronized double[] longestGap(String prefix, double from, double to) {
        List<double[]> intervals = new ArrayList<>();
        for (Span span : spansOf(prefix)) {
            intervals.add(new double[] {span.mStart, span.mEnd < 0 ? Double.MAX_VALUE : span.mEnd});
        }
        intervals.sort((a, b) -> Double.compare(a[0], b[0]));
        double[] gap = {0, from, from};
        double covered = from;
        for (double[] interval : intervals) {
            double until = Math.min(to, interval[0]);
            if (until - covered > gap[0]) {
                gap = new double[] {until - covered, covered, until};
            }
            covered = Math.max(covered, interval[1]);
        }
        if (to - covered > gap[0]) {
            gap = new double[] {to - covered, covered, to};
        }
        return gap;
    }
}
