package org.hyssoprouter.daemon.configuration;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.configuration.ConfigMessages.VersionQuery;
import org.hyssoprouter.daemon.configuration.ConfigMessages.VersionReply;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/** Queries peers for the configuration version that they apply. */
final class PeerVersionClient {
    private static final long TIMEOUT_MILLIS = 1_000;

    private final PeerTransport mPeers;

    PeerVersionClient(PeerTransport peers) {
        mPeers = peers;
    }

    CompletableFuture<Either<CallError, VersionReply>> queryVersion(
            DaemonRow daemon, long version) {
        return mPeers.call(
                        daemon.peerAddress(),
                        PeerCallType.CONFIG_VERSION.number(),
                        TrafficClass.URGENT,
                        MessageCodec.encode(new VersionQuery(version)),
                        TIMEOUT_MILLIS)
                .thenApply(result -> result.flatMap(PeerVersionClient::decode));
    }

    private static Either<CallError, VersionReply> decode(byte[] bytes) {
        try {
            return Either.right(MessageCodec.decode(bytes, VersionReply.class));
        } catch (IOException e) {
            return Either.left(
                    CallError.mayHaveRun(
                            CallError.Kind.BROKEN,
                            "cannot decode the reply of the peer: " + e.getMessage()));
        }
    }
}
