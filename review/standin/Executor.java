import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * An executor: starts whatever it is told to start, unless the order is fenced, old or late. What
 * a task does is in its Spec: {@code ms=1000} is how long it works (0: until it is stopped),
 * {@code fail=2} is how many of its first runs fail.
 */
final class Executor implements Http.Handler {
    private static final int CAPACITY_CPU = 64_000;
    private static final int CAPACITY_MB = 262_144;
    private static final int MAX_ENDS = 500;

    /** Duration of a task that lasts: {@code ms=0}. */
    private static final long LASTS = 0;

    private static final long STARTUP_MILLIS = 500;

    private final Site mSite;
    final String mId;
    private final int mNumber;
    private Http.Server mServer;
    private long mBornMillis;
    private long mBornNanos;
    private long mSequence;

    // What a crash loses.
    private final Map<String, Run> mRuns = new TreeMap<>();
    private final Map<String, Integer> mHighest = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private long mLastEnd;
    private long mFence;
    private long mLeaseEnd;
    private boolean mUp;

    private record End(long number, String task, int run, String how) {}

    /** A run, as the site has seen it. */
    static final class Run {
        final String mTask;
        final int mRun;
        final String mExecutor;
        final long mFence;
        final long mStartedAt;
        final long mWorkMillis;
        final boolean mFails;
        volatile long mEndedAt = -1;
        volatile String mHow = "running";

        Run(String task, int run, String executor, long fence, long startedAt, long workMillis, boolean fails) {
            mTask = task;
            mRun = run;
            mExecutor = executor;
            mFence = fence;
            mStartedAt = startedAt;
            mWorkMillis = workMillis;
            mFails = fails;
        }

        @Override
        public String toString() {
            return mTask + " run " + mRun + " on " + mExecutor + " from " + mStartedAt + " to "
                    + (mEndedAt < 0 ? "now" : Long.toString(mEndedAt)) + " " + mHow;
        }
    }

    Executor(Site site, String id, int number) {
        mSite = site;
        mId = id;
        mNumber = number;
    }

    void start(String ip, int port) throws Exception {
        mServer = new Http.Server(ip, port, this);
        beginLife();
        Thread thread = new Thread(this::beat, "beat-" + mId);
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void beginLife() {
        mBornMillis = System.currentTimeMillis();
        mBornNanos = System.nanoTime();
        mRuns.clear();
        mHighest.clear();
        mEnds.clear();
        mLastEnd = 0;
        mFence = 0;
        mLeaseEnd = 0;
        mSequence = 0;
        mUp = true;
        publish();
    }

    /** Loses power; all that runs is gone. */
    void crash() {
        synchronized (this) {
            mServer.goDark();
            mUp = false;
            for (Run run : mRuns.values()) {
                finish(run, "crashed");
            }
            mRuns.clear();
            notifyAll();
        }
        mSite.recorder().log("executor " + mId + " crashes");
    }

    /** Starts again under its id. It answers calls first and registers at once. */
    void restart() {
        synchronized (this) {
            mServer.comeBack();
            beginLife();
        }
        mSite.recorder().log("executor " + mId + " is back, born " + mBornMillis);
    }

    synchronized int runningCount() {
        return mRuns.size();
    }

    private long clock() {
        return (System.nanoTime() - mBornNanos) / 1_000_000;
    }

    private synchronized void publish() {
        Map<String, Object> row =
                Json.of(
                        "Service", Site.SERVICE, "Address", mServer.address(), "Zone", "caerdydd-a", "Version", "v1",
                        "Slots", 8, "State", "ready", "ColdRemainingMs", 0,
                        "Capacity", Json.of("Cpu", CAPACITY_CPU, "TaskMemoryMb", CAPACITY_MB, "Gpu", 0),
                        "Labels", List.of(mNumber % 2 == 0 ? "a" : "b", "r1-" + (mNumber / 8 + 1)),
                        "ClockMs", clock(), "Sequence", ++mSequence, "born", mBornMillis);
        mSite.store().put("servers", "", mId, Json.write(row));
    }

    private void beat() {
        try {
            Thread.sleep(ThreadLocalRandom.current().nextLong(Site.HEARTBEAT_MILLIS));
            while (true) {
                synchronized (this) {
                    if (mUp) {
                        publish();
                    }
                }
                Thread.sleep(Site.HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends what is due. */
    synchronized void tick() {
        long now = mSite.recorder().millis();
        boolean ended = false;
        for (Run run : new ArrayList<>(mRuns.values())) {
            if (run.mWorkMillis != LASTS && now - run.mStartedAt >= run.mWorkMillis) {
                end(run, run.mFails ? "failed" : "done");
                ended = true;
            } else if (clock() > mLeaseEnd) {
                end(run, "lapsed");
                ended = true;
            }
        }
        if (ended) {
            notifyAll();
        }
    }

    private void end(Run run, String how) {
        mRuns.remove(run.mTask);
        mHighest.merge(run.mTask, run.mRun, Math::max);
        mEnds.add(new End(++mLastEnd, run.mTask, run.mRun, how));
        finish(run, how);
    }

    private void finish(Run run, String how) {
        run.mEndedAt = mSite.recorder().millis();
        run.mHow = how;
        mSite.recorder().log("run ends: " + run);
    }

    @Override
    public Http.Reply handle(Http.Request request) throws Exception {
        if (!request.header("Expected-Instance").isEmpty() && !request.header("Expected-Instance").equals(mId)) {
            return new Http.Reply(421, "{}");
        }
        return switch (request.path()) {
            case "/healthz" -> new Http.Reply(200, "{}");
            case "/hyssoprouter/run-start" -> start(Json.object(request.body()));
            case "/hyssoprouter/run-stop" -> stop(Json.object(request.body()));
            case "/hyssoprouter/hold" -> hold(Json.object(request.body()));
            default -> new Http.Reply(404, "{}");
        };
    }

    private Http.Reply answer(int status, String reason) {
        Map<String, Object> body = Json.of("ClockMs", clock(), "born", mBornMillis);
        if (!reason.isEmpty()) {
            body.put("Reason", reason);
        }
        return new Http.Reply(status, Json.write(body));
    }

    private boolean isFenced(Map<String, Object> body) {
        long token = Json.number(body, "FencingToken", 0);
        if (token < mFence) {
            return true;
        }
        mFence = token;
        return false;
    }

    private void extendLease(Map<String, Object> body) {
        long deadline = Json.number(body, "DeadlineMs", 0);
        mLeaseEnd = Math.max(mLeaseEnd, Math.min(deadline, clock() + Site.MAX_HOLD_MILLIS));
    }

    private synchronized Http.Reply start(Map<String, Object> body) {
        String task = Json.text(body, "Task");
        int number = (int) Json.number(body, "RunId", 0);
        String order = "order to " + mId + ": start " + task + " run " + number + " token " + body.get("FencingToken");
        if (isFenced(body)) {
            mSite.recorder().log(order + " -> 409 fence");
            return answer(409, "fence");
        }
        Run present = mRuns.get(task);
        if (present != null && present.mRun == number) {
            extendLease(body);
            mSite.recorder().log(order + " -> 200 (is there)");
            return answer(200, "");
        }
        if (number <= mHighest.getOrDefault(task, 0) || present != null) {
            extendLease(body);
            mSite.recorder().log(order + " -> 409 old");
            return answer(409, "old");
        }
        if (Json.number(body, "DeadlineMs", 0) <= clock()) {
            mSite.recorder().log(order + " -> 409 late");
            return answer(409, "late");
        }
        extendLease(body);
        String spec = Json.text(body, "Spec");
        Run run =
                new Run(
                        task, number, mId, mFence, mSite.recorder().millis(), Site.field(spec, "ms", 1_000),
                        mSite.startCount(task) < Site.field(spec, "fail", 0));
        mRuns.put(task, run);
        mSite.onStart(run, spec);
        mSite.recorder().log(order + " -> 200");
        return answer(200, "");
    }

    private synchronized Http.Reply stop(Map<String, Object> body) {
        String task = Json.text(body, "Task");
        int number = (int) Json.number(body, "RunId", 0);
        String order = "order to " + mId + ": stop " + task + " run " + number + " token " + body.get("FencingToken");
        if (isFenced(body)) {
            mSite.recorder().log(order + " -> 409 fence");
            return answer(409, "fence");
        }
        mSite.recorder().log(order + " -> 200");
        Run run = mRuns.get(task);
        if (run != null && run.mRun <= number) {
            end(run, "stopped");
            notifyAll();
        }
        mHighest.merge(task, number, Math::max);
        return answer(200, "");
    }

    private synchronized Http.Reply hold(Map<String, Object> body) throws InterruptedException {
        if (isFenced(body)) {
            return answer(409, "fence");
        }
        if (body.containsKey("DeadlineMs")) {
            extendLease(body);
        }
        long acked = Json.number(body, "AckedThrough", 0);
        for (End end : mEnds) {
            if (end.number() <= acked) {
                mSite.onAcked(end.task(), end.run(), end.how());
            }
        }
        mEnds.removeIf(end -> end.number() <= acked);
        long life = mBornNanos;
        long endNanos = System.nanoTime() + Math.min(2_000, Json.number(body, "WaitMs", 0)) * 1_000_000;
        while (mEnds.isEmpty() && mUp && life == mBornNanos) {
            long left = (endNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        List<Object> running = new ArrayList<>();
        long now = mSite.recorder().millis();
        for (Run run : mRuns.values()) {
            // A task that lasts is at work after a short startup.
            long percent =
                    run.mWorkMillis == LASTS
                            ? (now - run.mStartedAt < STARTUP_MILLIS ? 0 : 100)
                            : Math.min(99, 100 * (now - run.mStartedAt) / Math.max(1, run.mWorkMillis));
            running.add(List.of(run.mTask, run.mRun, "", percent, 1_000));
        }
        List<Object> finished = new ArrayList<>();
        for (End end : mEnds.subList(0, Math.min(MAX_ENDS, mEnds.size()))) {
            finished.add(List.of(end.number(), end.task(), end.run(), end.how(), ""));
        }
        return new Http.Reply(
                200,
                Json.write(Json.of("ClockMs", clock(), "born", mBornMillis, "Running", running, "Finished", finished)));
    }
}
