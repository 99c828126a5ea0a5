package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.transport.ApprovalService;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/** Calls the approval service directly or through another daemon. */
final class PeerApprovalTransport implements ApprovalDispatcher.ApprovalTransport {
    private final String mSelf;
    private final ApprovalService mApprovals;
    private final PeerTransport mPeers;

    /**
     * Creates a transport.
     *
     * @param self name of this daemon, which calls the service directly
     */
    PeerApprovalTransport(String self, ApprovalService approvals, PeerTransport peers) {
        mSelf = self;
        mApprovals = approvals;
        mPeers = peers;
    }

    @Override
    public CompletableFuture<Either<CallError, ApprovalTickets>> requestApproval(
            MemberRow via, ApprovalRequest request, long timeoutMillis) {
        if (via.name().equals(mSelf)) {
            return mApprovals.requestApprovals(request, timeoutMillis);
        }
        byte[] payload = MessageCodec.encode(new ApprovalCall(request, timeoutMillis));
        return call(via, PeerCallType.APPROVAL, payload, timeoutMillis)
                .thenApply(reply -> reply.flatMap(ApprovalReply::decode));
    }

    @Override
    public CompletableFuture<Boolean> ping(MemberRow member, long timeoutMillis) {
        return call(member, PeerCallType.MEMBER_PING, new byte[0], timeoutMillis)
                .thenApply(Either::isRight);
    }

    private CompletableFuture<Either<CallError, byte[]>> call(
            MemberRow member, PeerCallType type, byte[] payload, long timeoutMillis) {
        return mPeers.call(
                member.address(), type.number(), TrafficClass.URGENT, payload, timeoutMillis);
    }
}
