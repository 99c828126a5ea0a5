package org.hyssoprouter.daemon.cell;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Calls the owner of a shard: locally if this daemon owns it, otherwise over the peer transport.
 *
 * @since 0.1
 */
public final class ShardOwnerClient {
    private final ShardDirectory mDirectory;
    private final PeerTransport mPeers;

    /** Creates the client. */
    public ShardOwnerClient(ShardDirectory directory, PeerTransport peers) {
        mDirectory = directory;
        mPeers = peers;
    }

    /**
     * Calls the owner of {@code shard}.
     *
     * @param local runs the call on the shard if this daemon owns it
     * @param message message to a remote owner
     * @param timeoutMillis timeout of a remote call
     */
    public <Q, A> CompletableFuture<Either<CallError, A>> call(
            String shard,
            Function<LocalShard, CompletableFuture<A>> local,
            PeerCallType type,
            Q message,
            Class<A> answerType,
            long timeoutMillis) {
        Option<LocalShard> owned = ownedShard(shard);
        if (owned.isDefined()) {
            return local.apply(owned.get()).thenApply(Either::right);
        }
        Option<ShardRow> row = rowOf(shard);
        if (row.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(noOwner(shard)));
        }
        return mPeers.call(
                        row.get().peerAddress(),
                        type.number(),
                        TrafficClass.NORMAL,
                        MessageCodec.encode(message),
                        timeoutMillis)
                .thenApply(result -> result.flatMap(bytes -> decode(bytes, answerType)));
    }

    /** Returns the shard if this daemon owns it, or none. */
    public Option<LocalShard> ownedShard(String shard) {
        return mDirectory.ownedShard(shard).map(LocalShard.class::cast);
    }

    private Option<ShardRow> rowOf(String shard) {
        return Option.ofOptional(
                mDirectory.shards().stream().filter(row -> row.shard().equals(shard)).findFirst());
    }

    private static CallError noOwner(String shard) {
        return CallError.notRun(CallError.Kind.UNREACHABLE, "shard " + shard + " has no owner");
    }

    private static <A> Either<CallError, A> decode(byte[] bytes, Class<A> type) {
        try {
            return Either.right(MessageCodec.decode(bytes, type));
        } catch (IOException e) {
            return Either.left(
                    CallError.mayHaveRun(
                            CallError.Kind.BROKEN,
                            "malformed reply from the shard owner: " + e.getMessage()));
        }
    }
}
