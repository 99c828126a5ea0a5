package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Chooses the daemon that writes a submission while transactions are slow. Answers a table store
 * that takes half a second for a transaction: it makes those of a partition one after another, so
 * that many daemons with a few rows each wait for one another, and more submissions arrive than
 * transactions can be made. With one writer for each partition, a transaction carries the rows of
 * all daemons. Daemons that choose different writers lose time, nothing else. Thread-safe.
 */
final class SubmissionGrouping {
    /**
     * Duration from which a transaction is slow; the usual one takes a tenth of it, and one with a
     * lost packet 200 ms more.
     */
    static final long SLOW_MILLIS = 250;

    /** Time for which submissions are grouped after a slow transaction. */
    static final long MEMORY_MILLIS = 1_500;

    /** Number of daemons up to which their transactions rarely wait for one another. */
    static final int MIN_DAEMONS = 16;

    /** Share of the strongest daemon's processor time that a writer needs. */
    private static final double WRITER_CPU_SHARE = 0.6;

    private final Supplier<List<MemberRow>> mMembers;
    private final MemberRow mSelf;
    private final MonotonicClock mClock;

    private final UnreachablePeers mUnreachable;

    // Guarded by this.
    private long mSlowUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a grouping for one daemon.
     *
     * @param members returns the daemons, including this one, in the same order on all of them
     * @param unreachable peers that do not answer; their partitions are written without them
     */
    SubmissionGrouping(
            Supplier<List<MemberRow>> members,
            MemberRow self,
            UnreachablePeers unreachable,
            MonotonicClock clock) {
        mUnreachable = unreachable;
        mMembers = members;
        mSelf = self;
        mClock = clock;
    }

    /** Records the duration of a transaction, in milliseconds. */
    synchronized void recordWrite(long millis) {
        if (millis >= SLOW_MILLIS) {
            mSlowUntilMillis = mClock.millis() + MEMORY_MILLIS;
        }
    }

    /** Records the duration of a grouped submission when it ends. */
    <T> CompletableFuture<T> recordDuration(CompletableFuture<T> submission) {
        long sentMillis = mClock.millis();
        return submission.whenComplete(
                (result, failure) -> recordWrite(mClock.millis() - sentMillis));
    }

    /**
     * Returns the peer that writes a submission at present; none if this daemon does.
     *
     * @param oldestWriteMillis age of this daemon's oldest write in flight, in milliseconds
     */
    Option<MemberRow> writerOf(String id, long oldestWriteMillis) {
        if (oldestWriteMillis < SLOW_MILLIS && !isSlow()) {
            return Option.none();
        }
        List<MemberRow> members = mMembers.get();
        if (members.size() < MIN_DAEMONS) {
            return Option.none();
        }
        double maxCores = members.stream().mapToDouble(MemberRow::cores).max().orElse(0);
        List<MemberRow> writers =
                members.stream().filter(it -> it.cores() >= WRITER_CPU_SHARE * maxCores).toList();
        int index = Math.floorMod(Schema.jobPartition(id).hashCode(), writers.size());
        MemberRow writer = writers.get(index);
        return mUnreachable.contains(writer) || writer.equals(mSelf)
                ? Option.none()
                : Option.some(writer);
    }

    private synchronized boolean isSlow() {
        return mClock.millis() < mSlowUntilMillis;
    }
}
