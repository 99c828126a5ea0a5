package org.hyssoprouter.daemon.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Notifies the other daemons that this daemon has opened a shard, so that they read the table at
 * once instead of at their next poll. If a call is lost, its receiver learns of it at that poll.
 */
final class ShardOpenNotifier {
    private static final long CALL_TIMEOUT_MILLIS = 1000;

    private final String mOwnName;
    private final PeerTransport mPeers;
    private final Supplier<List<DaemonRow>> mLiveDaemons;

    ShardOpenNotifier(String ownName, PeerTransport peers, Supplier<List<DaemonRow>> liveDaemons) {
        mOwnName = ownName;
        mPeers = peers;
        mLiveDaemons = liveDaemons;
    }

    void notifyPeers(ShardRow row, long version) {
        byte[] payload = MessageCodec.encode(new HandoverOffer(row, version, 0, new byte[0]));
        for (DaemonRow daemon : mLiveDaemons.get()) {
            if (!daemon.name().equals(mOwnName)) {
                CompletableFuture<?> unused =
                        mPeers.call(
                                daemon.peerAddress(),
                                PeerCallType.HANDOVER.number(),
                                TrafficClass.URGENT,
                                payload,
                                CALL_TIMEOUT_MILLIS);
            }
        }
    }
}
