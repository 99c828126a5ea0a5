import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of an executor (PROTOCOL.md, "Running tasks"). Commands come as requests. */
final class Executor {
    private static final long MAX_HOLD_MILLIS = 6_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int MAX_LISTED_ENDS = 500;

    /** What the tasks do. */
    interface Behavior {
        /** Returns how long a run works, in milliseconds. */
        long runMillis(String task, int run);

        /** Returns how a run ends after that. */
        String endOf(String task, int run);

        /** Returns the progress of a run, in percent. */
        default int percent(String task, int run, long workedMillis) {
            return (int) Math.min(99, 100 * workedMillis / Math.max(1, runMillis(task, run)));
        }
    }

    /** Learns what is run. */
    interface Observer {
        void onStarted(Executor executor, String task, int run);

        void onEnded(Executor executor, String task, int run, String how, long workedMillis);

        default void onAcknowledged(Executor executor, String task, int run, String how) {}
    }

    private static final class Run {
        final int mNumber;
        final long mStartMillis;

        Run(int number, long startMillis) {
            mNumber = number;
            mStartMillis = startMillis;
        }
    }

    final String mId;
    private final Store mStore;
    private final Behavior mBehavior;
    private final Observer mObserver;
    private final HttpServer mServer;
    private final String mService;
    private final int mCpu;
    private final int mMemoryMb;
    private String mKind;
    private final String mRack;
    private final Map<String, Run> mRuns = new HashMap<>();
    private final Map<String, Integer> mHighest = new HashMap<>();
    private final List<ArrayNode> mEnds = new ArrayList<>();
    private long mLastEnd;
    private long mToken;
    private long mLeaseEndMillis;
    private long mStartNanos = System.nanoTime();
    private long mBornMillis = System.currentTimeMillis();
    private long mSequence;
    private boolean mDark;
    private boolean mSheds;
    private int mLife;

    Executor(String ip, String id, String service, String kind, String rack, int cpu, int memoryMb,
            Store store, Behavior behavior, Observer observer) throws Exception {
        mId = id;
        mService = service;
        mKind = kind;
        mRack = rack;
        mCpu = cpu;
        mMemoryMb = memoryMb;
        mStore = store;
        mBehavior = behavior;
        mObserver = observer;
        mServer = HttpServer.create(new InetSocketAddress(ip, 0), 1024);
        mServer.setExecutor(Executors.newCachedThreadPool(Http::daemonThread));
        mServer.createContext("/", exchange -> Http.handle(exchange, this::serve));
        mServer.start();
        Http.daemonThread(this::tick).start();
    }

    private void tick() {
        long nextHeartbeatMillis = 0;
        try {
            while (true) {
                if (System.nanoTime() / 1_000_000 >= nextHeartbeatMillis || mSequence == 0) {
                    nextHeartbeatMillis = System.nanoTime() / 1_000_000 + HEARTBEAT_MILLIS;
                    register();
                }
                synchronized (this) {
                    endDueRuns();
                }
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void register() {
        if (mDark) {
            return;
        }
        ObjectNode row = Store.JSON.createObjectNode();
        row.put("Service", mService)
                .put("Address", mServer.getAddress().getAddress().getHostAddress() + ":" + mServer.getAddress().getPort())
                .put("Zone", "zone-a").put("Version", "1").put("Slots", 8).put("State", "ready")
                .put("ColdRemainingMs", 0).put("Sequence", ++mSequence).put("ClockMs", nowMillis())
                .put("born", mBornMillis);
        row.putObject("Capacity").put("Cpu", mCpu).put("TaskMemoryMb", mMemoryMb).put("Gpu", 0);
        row.putArray("Labels").add(mKind).add(mRack);
        mStore.put("servers", mId, Store.utf8(row.toString()));
    }

    /** The host loses power: nothing is answered, and all that runs is gone. */
    synchronized void goDark() {
        mDark = true;
        mLife++;
        for (Map.Entry<String, Run> entry : mRuns.entrySet()) {
            mObserver.onEnded(this, entry.getKey(), entry.getValue().mNumber, "crashed", nowMillis() - entry.getValue().mStartMillis);
        }
        mRuns.clear();
        notifyAll();
    }

    /** Starts again under its identifier and address; it knows nothing of before. */
    synchronized void startAgain(String kind) {
        mKind = kind;
        mHighest.clear();
        mEnds.clear();
        mLastEnd = 0;
        mToken = 0;
        mLeaseEndMillis = 0;
        mStartNanos = System.nanoTime();
        mBornMillis = System.currentTimeMillis();
        mSequence = 0;
        mDark = false;
        notifyAll();
    }

    /** Sets whether the executor is unhealthy and turns starts away with 503. */
    synchronized void setSheds(boolean sheds) {
        mSheds = sheds;
    }

    synchronized String kind() {
        return mKind;
    }

    synchronized int usedCpu(java.util.function.ToIntFunction<String> cpuOf) {
        return mRuns.keySet().stream().mapToInt(cpuOf).sum();
    }

    synchronized List<String> running() {
        return new ArrayList<>(mRuns.keySet());
    }

    int cpu() {
        return mCpu;
    }

    private void serve(HttpExchange exchange) throws Exception {
        int life;
        synchronized (this) {
            life = mLife;
            if (mDark) {
                // Without power, the call is neither taken nor answered.
                while (mDark) {
                    wait();
                }
                return;
            }
        }
        String path = exchange.getRequestURI().getPath();
        JsonNode body = Store.JSON.readTree(exchange.getRequestBody().readAllBytes());
        ObjectNode answer = Store.JSON.createObjectNode();
        int status;
        synchronized (this) {
            status = call(path, exchange.getRequestHeaders().getFirst("Expected-Instance"), body, answer, life);
            if (life != mLife) {
                while (mDark) {
                    wait();
                }
                return;
            }
        }
        Http.send(exchange, status, answer);
    }

    private int call(String path, String instance, JsonNode body, ObjectNode answer, int life) throws InterruptedException {
        answer.put("ClockMs", nowMillis()).put("born", mBornMillis);
        if (instance != null && !instance.equals(mId)) {
            return 421;
        }
        long token = body.path("FencingToken").asLong();
        if (token < mToken) {
            answer.put("Reason", "fence");
            return 409;
        }
        mToken = token;
        endDueRuns();
        if (path.endsWith("/run-start")) {
            if (mSheds) {
                return 503;
            }
            return start(body, answer);
        }
        if (path.endsWith("/run-stop")) {
            String task = body.path("Task").asText();
            int run = body.path("RunId").asInt();
            Run present = mRuns.get(task);
            if (present != null && present.mNumber <= run) {
                end(task, "stopped");
            }
            mHighest.merge(task, run, Math::max);
            return 200;
        }
        if (!path.endsWith("/hold")) {
            return 400;
        }
        hold(body, answer, life);
        return 200;
    }

    private int start(JsonNode body, ObjectNode answer) {
        String task = body.path("Task").asText();
        int run = body.path("RunId").asInt();
        Run present = mRuns.get(task);
        if (present != null && present.mNumber == run) {
            extendLease(body);
            return 200;
        }
        if (run <= mHighest.getOrDefault(task, 0) || present != null) {
            answer.put("Reason", "old");
            return 409;
        }
        if (body.path("DeadlineMs").asLong() < nowMillis()) {
            answer.put("Reason", "late");
            return 409;
        }
        extendLease(body);
        mRuns.put(task, new Run(run, nowMillis()));
        mObserver.onStarted(this, task, run);
        return 200;
    }

    private void hold(JsonNode body, ObjectNode answer, int life) throws InterruptedException {
        extendLease(body);
        long acked = body.path("AckedThrough").asLong();
        mEnds.removeIf(end -> {
            boolean gone = end.path(0).asLong() <= acked;
            if (gone) {
                mObserver.onAcknowledged(this, end.path(1).asText(), end.path(2).asInt(), end.path(3).asText());
            }
            return gone;
        });
        long untilNanos = System.nanoTime() + body.path("WaitMs").asLong() * 1_000_000;
        while (mEnds.isEmpty() && life == mLife) {
            long left = (untilNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        answer.put("ClockMs", nowMillis()).put("born", mBornMillis);
        ArrayNode running = answer.putArray("Running");
        mRuns.forEach((task, run) -> running.addArray().add(task).add(run.mNumber).add("")
                .add(mBehavior.percent(task, run.mNumber, nowMillis() - run.mStartMillis)).add(0));
        ArrayNode finished = answer.putArray("Finished");
        mEnds.stream().limit(MAX_LISTED_ENDS).forEach(finished::add);
    }

    private void extendLease(JsonNode body) {
        long deadline = Math.min(nowMillis() + MAX_HOLD_MILLIS, body.path("DeadlineMs").asLong());
        mLeaseEndMillis = Math.max(mLeaseEndMillis, deadline);
    }

    private void endDueRuns() {
        if (mDark) {
            return;
        }
        long now = nowMillis();
        for (String task : new ArrayList<>(mRuns.keySet())) {
            Run run = mRuns.get(task);
            if (now > mLeaseEndMillis) {
                end(task, "lapsed");
            } else if (now - run.mStartMillis >= mBehavior.runMillis(task, run.mNumber)) {
                end(task, mBehavior.endOf(task, run.mNumber));
            }
        }
    }

    private void end(String task, String how) {
        Run run = mRuns.remove(task);
        mHighest.merge(task, run.mNumber, Math::max);
        ArrayNode end = Store.JSON.createArrayNode();
        mEnds.add(end.add(++mLastEnd).add(task).add(run.mNumber).add(how).add(""));
        mObserver.onEnded(this, task, run.mNumber, how, nowMillis() - run.mStartMillis);
        notifyAll();
    }

    private long nowMillis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }
}
