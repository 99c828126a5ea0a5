package org.hyssoprouter.daemon.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardContext;

/** Shard whose state is the list of its durable events. */
final class RecordingShard implements OwnedShard {
    private final ShardContext mContext;
    private final List<ShardEvent> mHistory;
    volatile boolean mStarted;

    RecordingShard(ShardContext context, List<ShardEvent> history) {
        mHistory = new CopyOnWriteArrayList<>(history);
        mContext =
                new ShardContext(
                        context.shard(),
                        context.region(),
                        context.epoch(),
                        (events, within) ->
                                context.log()
                                        .append(events, within)
                                        .thenApply(r -> r.peek(done -> mHistory.addAll(events))),
                        context.ownership());
    }

    @Override
    public ShardContext context() {
        return mContext;
    }

    @Override
    public List<ShardEvent> snapshotEvents() {
        return List.copyOf(mHistory);
    }

    @Override
    public CompletableFuture<Boolean> quiesce() {
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public void start() {
        mStarted = true;
    }

    @Override
    public void stop() {
        mStarted = false;
    }
}
