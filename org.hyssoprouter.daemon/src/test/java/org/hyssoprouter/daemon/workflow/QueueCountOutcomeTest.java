package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls for the number of waiting workflows are counted by their outcome. */
class QueueCountOutcomeTest {
    private static final String QUEUE = "q";
    private static final long COUNTED_MILLIS = 50_000;
    private static final int QUEUE_COUNTED = 5017;

    private final RecordedLog mLog = new RecordedLog(LocalWorkflowService.class);
    private final SteppedExecutor mClock = new SteppedExecutor();
    private final WorkflowMeters mMeters = new WorkflowMeters();
    private final OnceReadTable mTable = new OnceReadTable();
    private final WorkflowStateCache mStates =
            new WorkflowStateCache(
                    mTable,
                    new LocalWorkflowServiceTest.IgnoringListener(),
                    mClock,
                    Clock.fixed(Instant.EPOCH, ZoneOffset.UTC));
    private final LocalWorkflowService mService =
            new LocalWorkflowService(
                    new LocalWorkflowService.Ports(
                            mTable,
                            mClock,
                            mClock,
                            mMeters,
                            WorkflowSettings.DEFAULT_MAX_ROW_BYTES),
                    mStates,
                    millis -> {});

    @AfterEach
    void stop() {
        mStates.stop();
        mLog.close();
    }

    private void assertLogged(String fields) {
        assertEquals("E5017 \"queue counted\" queue=q " + fields, mLog.lastOf(QUEUE_COUNTED));
    }

    private void assertMeter(String sample) {
        String text = mMeters.scrape();
        assertTrue(text.contains(sample), text);
    }

    // Guards against answers without a number that no metric shows: no age can be recorded.
    @Test
    void unpublishedCountIsCounted() {
        assertEquals(Option.none(), mService.pending(QUEUE));
        assertLogged("waiting=-1 ageMillis=-1 epoch=0 readAgeMillis=-1");
        assertMeter("hyssop_queue_counts_total{outcome=\"UNPUBLISHED\"} 1");
    }

    @Test
    void answeredAndOldCountsAreCounted() throws InterruptedException {
        mStates.start();
        while (mStates.countOf(QUEUE).isEmpty()) {
            Thread.sleep(10);
        }
        assertEquals(Option.some(7), mService.pending(QUEUE));
        assertLogged("waiting=7 ageMillis=0 epoch=3 readAgeMillis=0");
        mClock.advance(QueueCount.MAX_AGE_MILLIS + 1);
        assertEquals(Option.none(), mService.pending(QUEUE));
        assertLogged("waiting=-1 ageMillis=2001 epoch=3 readAgeMillis=2001");
        assertMeter("hyssop_queue_counts_total{outcome=\"ANSWERED\"} 1");
        assertMeter("hyssop_queue_counts_total{outcome=\"TOO_OLD\"} 1");
        assertMeter("hyssop_queue_count_age_seconds_count{answered=\"false\"} 1");
    }

    /** Table that answers one scan and one poll. */
    private static final class OnceReadTable extends UnansweredTable {
        private boolean mPolled;

        private static Entry entry(String key, Object row) {
            Key name = new Key(Schema.STATES, Schema.POOLS_PARTITION, key);
            return new Entry(name, 1, MessageCodec.encode(row));
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            OwnerRow owner =
                    new OwnerRow("a", "run", "", 3, 1, false).withCountedMillis(COUNTED_MILLIS);
            List<Entry> rows =
                    List.of(
                            entry(Schema.LOAD_KEY, new LoadRow(Map.of(QUEUE, 7), 1)),
                            entry(Schema.OWNER_KEY, owner));
            return CompletableFuture.completedFuture(
                    Either.right(new Page(rows, false, 1, COUNTED_MILLIS)));
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> pollChanges(
                String table, long after, long waitMillis) {
            if (mPolled) {
                return new CompletableFuture<>();
            }
            mPolled = true;
            return CompletableFuture.completedFuture(
                    Either.right(new Page(List.of(), false, 1, COUNTED_MILLIS)));
        }
    }
}
