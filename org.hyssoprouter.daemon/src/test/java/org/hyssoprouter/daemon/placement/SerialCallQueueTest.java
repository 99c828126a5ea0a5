package org.hyssoprouter.daemon.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SerialCallQueueTest {
    private static final int THREADS = 4;
    private static final int CALLS_PER_THREAD = 5_000;

    private final SerialCallQueue mQueue = new SerialCallQueue();
    // Not thread-safe, because the queue must run one call at a time.
    private final List<Integer> mExecuted = new ArrayList<>();
    private int mNextNumber;

    @Test
    void runsEachCallOnceInInsertionOrder() throws Exception {
        List<Thread> threads =
                IntStream.range(0, THREADS).mapToObj(i -> new Thread(this::addAndDrain)).toList();
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        assertTrue(mQueue.isEmpty());
        assertEquals(IntStream.range(0, THREADS * CALLS_PER_THREAD).boxed().toList(), mExecuted);
    }

    @Test
    void callAddedByRunningCallRunsAfterIt() {
        mQueue.add(
                () -> {
                    mQueue.add(() -> mExecuted.add(2));
                    mQueue.drain();
                    mExecuted.add(1);
                });
        mQueue.drain();
        assertEquals(List.of(1, 2), mExecuted);
    }

    private void addAndDrain() {
        for (int i = 0; i < CALLS_PER_THREAD; i++) {
            synchronized (this) {
                int number = mNextNumber++;
                mQueue.add(() -> mExecuted.add(number));
            }
            mQueue.drain();
        }
    }
}
