package org.hyssoprouter.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.hyssoprouter.lib.Verdict;

/**
 * Sends requests from concurrent callers through load-balanced daemons, and retries a request
 * through another daemon, under the same key, until its outcome is final.
 *
 * @since 0.1
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long RETRY_DELAY_MILLIS = 250;

    /** MAY_HAVE_RUN answers after which a non-idempotent request is no longer retried. */
    private static final int MAX_UNKNOWN_OUTCOMES = 4;

    private final Cell mCell;
    private final int mMaxAttempts;
    private final Random mRandom;
    private final LoadBalancer mBalancer;
    private final ExecutorService mThreads;
    private final AtomicInteger mNextIndex = new AtomicInteger();
    private volatile boolean mLooping;
    private final List<CallerAnswer> mAnswers = Collections.synchronizedList(new ArrayList<>());

    /**
     * Creates a generator without load.
     *
     * @param cell cell that receives the requests
     * @param seed seed of the choice of daemons
     * @param threads number of callers, each with one open request
     * @param maxAttempts maximum number of attempts for each request
     */
    public LoadGenerator(Cell cell, long seed, int threads, int maxAttempts) {
        mCell = cell;
        mMaxAttempts = maxAttempts;
        mRandom = new Random(seed);
        mBalancer = new LoadBalancer(cell.daemons());
        mThreads = Executors.newFixedThreadPool(threads);
    }

    /**
     * Enqueues a request.
     *
     * @return future of the last answer, when the request ran or is no longer retried
     */
    public Future<CallerAnswer> send(CallerRequest request) {
        return mThreads.submit(() -> sendUntilSettled(request));
    }

    /** Enqueues requests and waits for the last answer to each. */
    public List<CallerAnswer> sendAll(List<CallerRequest> requests) throws Exception {
        List<Future<CallerAnswer>> pending = requests.stream().map(this::send).toList();
        List<CallerAnswer> last = new ArrayList<>();
        for (Future<CallerAnswer> answer : pending) {
            last.add(answer.get());
        }
        return last;
    }

    /**
     * Starts callers that each send requests one after the other until the loops stop.
     *
     * @param threads number of callers to use
     * @param source creates the request of an index; called once for each index
     * @return one future for each caller, with the last answer to each of its requests
     */
    public List<Future<List<CallerAnswer>>> startLoops(
            int threads, IntFunction<CallerRequest> source) {
        mLooping = true;
        List<Future<List<CallerAnswer>>> loops = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            loops.add(mThreads.submit(() -> runLoop(source)));
        }
        return loops;
    }

    /** Stops all loops; each caller still completes its open request, including retries. */
    public void stopLoops() {
        mLooping = false;
    }

    /** Returns the outcome of each attempt so far. */
    public List<CallerAnswer> answers() {
        synchronized (mAnswers) {
            return List.copyOf(mAnswers);
        }
    }

    @Override
    public void close() {
        mThreads.shutdownNow();
        mBalancer.close();
    }

    private List<CallerAnswer> runLoop(IntFunction<CallerRequest> source) {
        List<CallerAnswer> last = new ArrayList<>();
        while (mLooping) {
            last.add(sendUntilSettled(source.apply(mNextIndex.getAndIncrement())));
        }
        return last;
    }

    private CallerAnswer sendUntilSettled(CallerRequest request) {
        DaemonProcess entry = mBalancer.pickEntry(mRandom, null);
        CallerAnswer answer = sendOnce(entry, request);
        int unknownOutcomes = 0;
        for (int attempts = 1; attempts < mMaxAttempts && isRetryable(answer); attempts++) {
            unknownOutcomes += answer.verdict() == Verdict.MAY_HAVE_RUN ? 1 : 0;
            if (unknownOutcomes == MAX_UNKNOWN_OUTCOMES && !request.idempotent()) {
                break;
            }
            Cell.sleep(RETRY_DELAY_MILLIS);
            entry = mBalancer.pickEntry(mRandom, entry);
            answer = sendOnce(entry, request);
        }
        return answer;
    }

    private CallerAnswer sendOnce(DaemonProcess entry, CallerRequest request) {
        CallerAnswer answer = mCell.client().send(entry, request);
        mAnswers.add(answer);
        return answer;
    }

    private static boolean isRetryable(CallerAnswer answer) {
        if (answer.ran()) {
            return false;
        }
        CallerRequest request = answer.request();
        boolean mayRepeat = request.idempotent() || request.idempotencyKey() != null;
        return mayRepeat || answer.verdict() == Verdict.NOT_RUN;
    }
}
