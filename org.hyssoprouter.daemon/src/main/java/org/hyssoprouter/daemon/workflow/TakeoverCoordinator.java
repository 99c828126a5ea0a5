package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Shortens the time without an owner of the pools over the peer link: an owner whom the table store
 * refuses asks for a takeover, and an owner whose process has ended is noticed before its timeout.
 * The owner's row decides as always; a takeover without need costs time, never a promise.
 */
final class TakeoverCoordinator {
    private static final EventLogger LOG = EventLogger.of(TakeoverCoordinator.class);
    private static final long REQUEST_TIMEOUT_MILLIS = 700;
    private static final long CHECK_TIMEOUT_MILLIS = 300;

    private final Election mElection;
    private final MemberRegistry mMembers;
    private final PeerTransport mPeers;
    private final SerialExecutor mThread;
    private final Runnable mCampaign;

    /**
     * Creates a coordinator.
     *
     * @param campaign campaigns if the election allows it; called on the thread
     */
    TakeoverCoordinator(
            Election election,
            MemberRegistry members,
            PeerTransport peers,
            SerialExecutor thread,
            Runnable campaign) {
        mElection = election;
        mMembers = members;
        mPeers = peers;
        mThread = thread;
        mCampaign = campaign;
    }

    /** Handles the request of an owner; this daemon takes over if the store serves it. */
    CompletableFuture<byte[]> handleRequest(byte[] payload) {
        try {
            prepareTakeover(MessageCodec.decode(payload, TakeoverRequest.class));
            return CompletableFuture.completedFuture(new byte[0]);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void prepareTakeover(TakeoverRequest request) {
        mElection.onTakeoverRequested(request);
        mThread.schedule(mCampaign, mElection.staggerMillis());
    }

    /** Asks strong peers to take over; this owner goes on until its row names another one. */
    void requestTakeover(long epoch) {
        List<MemberRow> peers = mMembers.strongPeers(Election.LOW_CPU_RATIO);
        LOG.log(LogEvent.TAKEOVER_REQUESTED, epoch, peers.size());
        byte[] payload =
                MessageCodec.encode(new TakeoverRequest(mMembers.self().incarnation(), epoch));
        for (MemberRow peer : peers) {
            CompletableFuture<Void> unused =
                    call(peer.address(), PeerCallType.POOLS_TAKEOVER, payload)
                            .thenAccept(reply -> reply.peekLeft(error -> logLost(peer, error)));
        }
    }

    private static void logLost(MemberRow peer, CallError error) {
        LOG.log(LogEvent.TAKEOVER_REQUEST_LOST, peer.name(), error.message());
    }

    private CompletableFuture<Either<CallError, byte[]>> call(
            String address, PeerCallType type, byte[] payload) {
        long timeoutMillis =
                type == PeerCallType.MEMBER_PING ? CHECK_TIMEOUT_MILLIS : REQUEST_TIMEOUT_MILLIS;
        return mPeers.call(address, type.number(), TrafficClass.URGENT, payload, timeoutMillis);
    }

    /**
     * Checks an owner that has missed its heartbeat. If its host refuses the connection, its
     * process has ended and there is no need to wait for the timeout.
     *
     * @param storeMillis steady clock of the store, in milliseconds
     */
    void checkOwnerIfSilent(long storeMillis) {
        mElection.ownerToCheck(storeMillis).forEach(this::check);
    }

    private void check(OwnerRow owner) {
        CompletableFuture<Void> unused =
                call(owner.address(), PeerCallType.MEMBER_PING, new byte[0])
                        .thenAccept(
                                reply -> {
                                    if (reply.isLeft()
                                            && reply.getLeft().kind() == CallError.Kind.ABSENT) {
                                        mThread.execute(() -> handleAbsent(owner));
                                    }
                                });
    }

    private void handleAbsent(OwnerRow owner) {
        LOG.log(LogEvent.OWNER_ABSENT, owner.owner(), owner.epoch());
        prepareTakeover(new TakeoverRequest(owner.incarnation(), owner.epoch()));
    }
}
