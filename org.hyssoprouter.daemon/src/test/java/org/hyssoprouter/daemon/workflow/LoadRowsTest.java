package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

class LoadRowsTest {
    private final Map<String, byte[]> mTable = new HashMap<>();
    private long mNowMillis = 10_000;
    private long mCountedMillis;

    private void publish(LoadRows rows, Map<String, Integer> pending) {
        mNowMillis += LoadRows.INTERVAL_MILLIS;
        LoadRows.Due publication = rows.due(pending, mNowMillis, mNowMillis);
        Map<String, byte[]> due = publication.rows();
        mCountedMillis =
                publication.countedMillis() == LoadRows.Due.UNCHANGED
                        ? mCountedMillis
                        : publication.countedMillis();
        due.values().forEach(it -> assertTrue(it.length < 65_536, "row of " + it.length));
        mTable.putAll(due);
        rows.recordDurable();
    }

    private int pending(String queue) throws IOException {
        byte[] main = Objects.requireNonNull(mTable.get(Schema.LOAD_KEY));
        LoadRow first = MessageCodec.decode(main, LoadRow.class);
        byte[] row = mTable.get(Schema.loadKey(LoadRow.numberOf(queue, first.rowCount())));
        return row == null
                ? 0
                : MessageCodec.decode(row, LoadRow.class).pending().getOrDefault(queue, 0);
    }

    private static Map<String, Integer> queues(int count) {
        Map<String, Integer> pending = new HashMap<>();
        for (int i = 0; i < count; i++) {
            pending.put("queue-with-a-name-of-a-usual-length-" + i, i % 7);
        }
        return pending;
    }

    // Guards against a row of the load that grows with the number of queues: it was part of each
    // commit, so that the store refused them all.
    @Test
    void loadOfManyQueuesIsDivided() throws IOException {
        LoadRows rows = new LoadRows();
        Map<String, Integer> pending = queues(6_000);
        for (int i = 0; i < 40; i++) {
            publish(rows, pending);
        }
        for (Map.Entry<String, Integer> queue : pending.entrySet()) {
            assertEquals(queue.getValue(), pending(queue.getKey()), queue.getKey());
        }
    }

    // Guards against counts of a former owner that stay for ever.
    @Test
    void newOwnerReplacesTheLoadOfTheFormerOne() throws IOException {
        LoadRows former = new LoadRows();
        for (int i = 0; i < 10; i++) {
            publish(former, queues(1_000));
        }
        LoadRows next = new LoadRows();
        publish(next, Map.of("other", 3));
        assertEquals(3, pending("other"));
        assertEquals(0, pending("queue-with-a-name-of-a-usual-length-1"));
        for (int i = 0; i < 10; i++) {
            publish(next, queues(900));
        }
        assertEquals(1, pending("queue-with-a-name-of-a-usual-length-1"));
        assertEquals(0, pending("queue-with-a-name-of-a-usual-length-950"));
    }

    // Guards against counts that callers never see: the commit that wrote them failed.
    @Test
    void loadThatWasNotWrittenIsPublishedAgain() throws IOException {
        LoadRows rows = new LoadRows();
        assertEquals(1, rows.due(Map.of("q", 2), mNowMillis, mNowMillis).rows().size());
        rows.forgetUnwritten();
        publish(rows, Map.of("q", 2));
        assertEquals(2, pending("q"));
    }

    // Rows of an earlier release hold all queues.
    @Test
    void rowOfAnEarlierReleaseIsRead() throws IOException {
        record FormerLoadRow(Map<String, Integer> pending) {}
        mTable.put(Schema.LOAD_KEY, MessageCodec.encode(new FormerLoadRow(Map.of("a", 1, "b", 2))));
        assertEquals(2, pending("b"));
    }

    // Guards against a count of zero for queues whose row is not written yet: the rows of two
    // publications distribute the queues in two ways.
    @Test
    void countIsUnknownWhileTheRowsOfTwoPublicationsAreMixed() {
        LoadRows rows = new LoadRows();
        publish(rows, queues(10));
        assertEquals(mNowMillis, mCountedMillis);
        publish(rows, queues(6_000));
        assertEquals(0, mCountedMillis);
        for (int i = 0; i < 40; i++) {
            publish(rows, queues(6_000));
        }
        assertEquals(mNowMillis, mCountedMillis);
    }

    // Guards against counts that a constant change of many rows keeps unknown.
    @Test
    void changingLoadOfManyRowsIsPublishedWhole() throws IOException {
        LoadRows rows = new LoadRows();
        for (int i = 0; i < 100; i++) {
            Map<String, Integer> pending = queues(6_000);
            int shift = i;
            pending.replaceAll((queue, count) -> count + shift);
            publish(rows, pending);
        }
        assertTrue(mNowMillis - mCountedMillis < 30 * LoadRows.INTERVAL_MILLIS);
        assertTrue(pending("queue-with-a-name-of-a-usual-length-0") > 70);
    }

    // Guards against an unchanged load that seems to age.
    @Test
    void unchangedLoadIsConfirmedWithoutRows() {
        LoadRows rows = new LoadRows();
        publish(rows, Map.of("q", 2));
        LoadRows.Due due = rows.due(Map.of("q", 2), 20_000, mNowMillis + 1);
        assertEquals(Map.of(), due.rows());
        assertEquals(20_000, due.countedMillis());
    }
}
