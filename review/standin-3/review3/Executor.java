package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for an executor: runs tasks under a lease, keeps the highest fencing token, lists ends
 * until they are acknowledged. It can crash and start again under its identifier.
 */
final class Executor {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int WRONG_INSTANCE = 421;
    private static final int MAX_LISTED_ENDS = 500;
    private static final int PERCENT = 100;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long MAX_HOLD_MILLIS = 6_000;
    private static final long TICK_MILLIS = 10;

    final String mId;
    private final Store mStore;
    private final Work mWork;
    private final RunLog mLog;
    private final String mRack;
    private final long mCpu;
    private final HttpNode mNode = new HttpNode();
    private final Thread mTicker = new Thread(this::tickAlways, "executor");

    // Guarded by this. State of one life.
    private boolean mUp;
    private int mLife;
    private long mBornMillis;
    private long mStartNanos;
    private long mSequence;
    private long mNextHeartbeatMillis;
    private long mToken;
    private long mLeaseEndMillis;
    private long mLastEnd;
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mBarred = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();

    /** What the tasks of a job do. */
    interface Work {
        /** Returns the duration of a run in milliseconds. */
        long millis(String task, int run);

        /** Returns the processors that a task takes, in thousandths of a core. */
        long cpu(String task);
    }

    private record Run(int number, long startMillis) {}

    private record End(long number, String task, int run, String how) {
        ArrayNode toJson() {
            return Json.array().add(number).add(task).add(run).add(how).add("");
        }
    }

    Executor(String id, String rack, long cpu, Store store, Work work, RunLog log) {
        mId = id;
        mRack = rack;
        mCpu = cpu;
        mStore = store;
        mWork = work;
        mLog = log;
        mNode.handle("/hyssoprouter/run-start", this::start);
        mNode.handle("/hyssoprouter/run-stop", this::stop);
        mNode.handle("/hyssoprouter/hold", this::hold);
        mTicker.setDaemon(true);
        mTicker.start();
    }

    String address() {
        return mNode.address();
    }

    /** Begins a life. */
    void begin() throws IOException {
        synchronized (this) {
            mLife++;
            mBornMillis = System.currentTimeMillis();
            mStartNanos = System.nanoTime();
            mSequence = 0;
            mToken = 0;
            mLeaseEndMillis = 0;
            mLastEnd = 0;
            mNextHeartbeatMillis = 0;
            mRuns.clear();
            mBarred.clear();
            mEnds.clear();
            mUp = true;
        }
        mNode.start();
    }

    /** Ends the present life at once with all that runs; nothing of it is ever reported. */
    void crash() {
        synchronized (this) {
            if (!mUp) {
                return;
            }
            mUp = false;
            mRuns.forEach((task, run) -> mLog.ended(this, task, run.number(), "crashed"));
            mRuns.clear();
            notifyAll();
        }
        mNode.stop();
    }

    synchronized boolean isRunning(String task) {
        return mUp && mRuns.containsKey(task);
    }

    /** Entry of this executor in the store. */
    synchronized ObjectNode entry() {
        ObjectNode entry =
                Json.object()
                        .put("Service", Cell.SERVICE)
                        .put("Address", address())
                        .put("Zone", Cell.ZONE)
                        .put("Version", "1")
                        .put("Slots", 8)
                        .put("State", "ready")
                        .put("Sequence", ++mSequence)
                        .put("born", mBornMillis)
                        .put("ClockMs", clockMillis());
        entry.putObject("Capacity").put("Cpu", mCpu).put("TaskMemoryMb", 262_144).put("Gpu", 0);
        entry.putArray("Labels").add("a").add(mRack);
        return entry;
    }

    private void tickAlways() {
        while (true) {
            tick();
            Sleep.millis(TICK_MILLIS);
        }
    }

    private void tick() {
        ObjectNode entry = null;
        synchronized (this) {
            if (!mUp) {
                return;
            }
            endDueRuns();
            if (clockMillis() >= mNextHeartbeatMillis) {
                mNextHeartbeatMillis = clockMillis() + HEARTBEAT_MILLIS;
                entry = entry();
            }
        }
        if (entry != null) {
            mStore.put("servers", mId, entry.toString());
        }
    }

    private long clockMillis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000 + 1;
    }

    private void endDueRuns() {
        long nowMillis = clockMillis();
        for (String task : new ArrayList<>(mRuns.keySet())) {
            Run run = mRuns.get(task);
            if (nowMillis > mLeaseEndMillis) {
                endRun(task, "lapsed");
            } else if (nowMillis - run.startMillis() >= mWork.millis(task, run.number())) {
                endRun(task, "done");
            }
        }
    }

    private void endRun(String task, String how) {
        Run run = mRuns.remove(task);
        mBarred.merge(task, run.number(), Math::max);
        mEnds.add(new End(++mLastEnd, task, run.number(), how));
        mLog.ended(this, task, run.number(), how);
        notifyAll();
    }

    /** Returns the refusal of a call that is for another life or from a former holder, or null. */
    private Reply refusal(HttpExchange exchange, JsonNode body) {
        String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
        if (expected != null && !expected.equals(mId)) {
            return new Reply(WRONG_INSTANCE, Json.object());
        }
        long token = body.path("FencingToken").asLong(0);
        if (token < mToken) {
            return conflict("fence");
        }
        mToken = token;
        return null;
    }

    private Reply conflict(String reason) {
        return new Reply(
                CONFLICT, Json.object().put("ClockMs", clockMillis()).put("Reason", reason));
    }

    private Reply ok() {
        return new Reply(OK, Json.object().put("ClockMs", clockMillis()).put("born", mBornMillis));
    }

    private void extendLease(JsonNode body) {
        long latestMillis = clockMillis() + MAX_HOLD_MILLIS;
        long deadlineMillis = Math.min(latestMillis, body.path("DeadlineMs").asLong(0));
        mLeaseEndMillis = Math.max(mLeaseEndMillis, deadlineMillis);
    }

    private Reply start(HttpExchange exchange) throws IOException {
        JsonNode body = HttpNode.json(exchange);
        synchronized (this) {
            if (!mUp) {
                return null;
            }
            Reply refusal = refusal(exchange, body);
            if (refusal != null) {
                return refusal;
            }
            endDueRuns();
            String task = body.path("Task").asText();
            int number = body.path("RunId").asInt();
            Run present = mRuns.get(task);
            if (present != null && present.number() == number) {
                return ok();
            }
            if (body.path("DeadlineMs").asLong(0) < clockMillis()) {
                return conflict("late");
            }
            extendLease(body);
            if (present != null || number <= mBarred.getOrDefault(task, 0)) {
                return conflict("old");
            }
            mRuns.put(task, new Run(number, clockMillis()));
            mLog.started(this, task, number, body.path("Spec").asText());
            return ok();
        }
    }

    private Reply stop(HttpExchange exchange) throws IOException {
        JsonNode body = HttpNode.json(exchange);
        synchronized (this) {
            if (!mUp) {
                return null;
            }
            Reply refusal = refusal(exchange, body);
            if (refusal != null) {
                return refusal;
            }
            endDueRuns();
            String task = body.path("Task").asText();
            int number = body.path("RunId").asInt();
            Run present = mRuns.get(task);
            if (present != null && present.number() <= number) {
                endRun(task, "stopped");
            }
            mBarred.merge(task, number, Math::max);
            return ok();
        }
    }

    private Reply hold(HttpExchange exchange) throws IOException, InterruptedException {
        JsonNode body = HttpNode.json(exchange);
        long waitMillis = body.path("WaitMs").asLong(0);
        synchronized (this) {
            if (!mUp) {
                return null;
            }
            Reply refusal = refusal(exchange, body);
            if (refusal != null) {
                return refusal;
            }
            int life = mLife;
            endDueRuns();
            extendLease(body);
            long acknowledged = body.path("AckedThrough").asLong(0);
            for (End end : new ArrayList<>(mEnds)) {
                if (end.number() <= acknowledged) {
                    mEnds.remove(end);
                    mLog.acknowledged(this, end.task(), end.run(), end.how());
                }
            }
            long endMillis = clockMillis() + waitMillis;
            while (mUp && life == mLife && mEnds.isEmpty() && clockMillis() < endMillis) {
                wait(Math.max(1, endMillis - clockMillis()));
            }
            if (!mUp || life != mLife) {
                return null;
            }
            return report();
        }
    }

    private Reply report() {
        ObjectNode report = Json.object().put("ClockMs", clockMillis()).put("born", mBornMillis);
        ArrayNode running = report.putArray("Running");
        mRuns.forEach(
                (task, run) ->
                        running.addArray()
                                .add(task)
                                .add(run.number())
                                .add("")
                                .add(percent(task, run))
                                .add(mWork.cpu(task)));
        ArrayNode finished = report.putArray("Finished");
        mEnds.stream().limit(MAX_LISTED_ENDS).forEach(end -> finished.add(end.toJson()));
        return new Reply(OK, report);
    }

    private long percent(String task, Run run) {
        long millis = Math.max(1, mWork.millis(task, run.number()));
        return Math.min(PERCENT - 1, PERCENT * (clockMillis() - run.startMillis()) / millis);
    }
}
