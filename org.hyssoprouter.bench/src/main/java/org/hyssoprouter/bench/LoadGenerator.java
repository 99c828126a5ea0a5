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
 * Callers that send requests through changing entries, as a balancer would, and send a request
 * again, through another entry and under the same key, while its outcome is open.
 *
 * @since 0.1
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long RETRY_DELAY_MILLIS = 250;

    /** Answers MAY_HAVE_RUN after which a request that must not run twice is given up. */
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
     * Creates idle callers.
     *
     * @param cell cell
     * @param seed seed of the choice of entries
     * @param threads requests that are open at once
     * @param maxSendings sendings of one request
     */
    public LoadGenerator(Cell cell, long seed, int threads, int maxSendings) {
        mCell = cell;
        mMaxAttempts = maxSendings;
        mRandom = new Random(seed);
        mBalancer = new LoadBalancer(cell.daemons());
        mThreads = Executors.newFixedThreadPool(threads);
    }

    /**
     * Queues a request.
     *
     * @return completes with the last answer, when the request ran or its sendings are used up
     */
    public Future<CallerAnswer> send(CallerRequest request) {
        return mThreads.submit(() -> sendUntilSettled(request));
    }

    /** Queues requests and waits until all are settled. */
    public List<CallerAnswer> sendAll(List<CallerRequest> requests) throws Exception {
        List<Future<CallerAnswer>> open = requests.stream().map(this::send).toList();
        List<CallerAnswer> last = new ArrayList<>();
        for (Future<CallerAnswer> answer : open) {
            last.add(answer.get());
        }
        return last;
    }

    /**
     * Lets {@code threads} of the callers send one request after the other until the loop ends.
     *
     * @param source returns the request of an index, each index being asked for once
     * @return completes with the last answer to each request of one caller
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

    /** Ends all loops; each caller still settles its open request. */
    public void stopLoops() {
        mLooping = false;
    }

    /** Returns the outcome of every sending so far. */
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
        int unknown = 0;
        for (int sent = 1; sent < mMaxAttempts && isRetryable(answer); sent++) {
            unknown += answer.verdict() == Verdict.MAY_HAVE_RUN ? 1 : 0;
            if (unknown == MAX_UNKNOWN_OUTCOMES && !request.idempotent()) {
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
        boolean repeatable = request.idempotent() || request.idempotencyKey() != null;
        return repeatable || answer.verdict() == Verdict.NOT_RUN;
    }
}
