package org.hyssoprouter.daemon.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class OutboxTest {
    private static final int THREADS = 4;
    private static final int STEPS = 5_000;

    private final Outbox mOutbox = new Outbox();
    // Not thread-safe on purpose: the outbox runs one step at a time.
    private final List<Integer> mRun = new ArrayList<>();
    private int mNext;

    @Test
    void runsEachStepOnceInTheOrderOfTheDecisions() throws Exception {
        List<Thread> threads =
                IntStream.range(0, THREADS).mapToObj(i -> new Thread(this::decide)).toList();
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        assertTrue(mOutbox.isEmpty());
        assertEquals(IntStream.range(0, THREADS * STEPS).boxed().toList(), mRun);
    }

    @Test
    void stepAddedByAStepRunsAfterIt() {
        mOutbox.add(
                () -> {
                    mOutbox.add(() -> mRun.add(2));
                    mOutbox.drain();
                    mRun.add(1);
                });
        mOutbox.drain();
        assertEquals(List.of(1, 2), mRun);
    }

    private void decide() {
        for (int i = 0; i < STEPS; i++) {
            synchronized (this) {
                int number = mNext++;
                mOutbox.add(() -> mRun.add(number));
            }
            mOutbox.drain();
        }
    }
}
