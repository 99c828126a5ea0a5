package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Passes callers' calls on to another daemon while the table store does not serve this one. Load
 * pattern: the store refuses a part of the hosts, or does not answer them, and serves the others.
 */
final class ForwardingWorkflowService implements WorkflowService {
    private static final EventLogger LOG = EventLogger.of(ForwardingWorkflowService.class);

    /** Daemons that are tried for a call. */
    private static final int MAX_PEERS = 2;

    /** Time for a peer's answer: a write to a healthy store, and the way between two regions. */
    private static final long PEER_TIMEOUT_MILLIS = 700;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final LocalWorkflowService mLocal;
    private final BooleanSupplier mStoreAvailable;
    private final MemberRegistry mMembers;
    private final PeerTransport mPeers;

    /**
     * Creates an entry.
     *
     * @param storeAnswers whether the store has answered this daemon lately
     */
    ForwardingWorkflowService(
            LocalWorkflowService local,
            BooleanSupplier storeAnswers,
            MemberRegistry members,
            PeerTransport peers) {
        mLocal = local;
        mStoreAvailable = storeAnswers;
        mMembers = members;
        mPeers = peers;
    }

    @Override
    public CompletableFuture<SubmitResult> submit(WorkflowSpec spec, long configVersion) {
        if (!mStoreAvailable.getAsBoolean()) {
            return forwardSubmit(spec, configVersion);
        }
        return mLocal.submit(spec, configVersion)
                .thenCompose(
                        result ->
                                result.verdict() == Verdict.NOT_RUN
                                        ? forwardSubmit(spec, configVersion)
                                        : CompletableFuture.completedFuture(result));
    }

    private CompletableFuture<SubmitResult> forwardSubmit(WorkflowSpec spec, long configVersion) {
        return forward(WorkflowCall.submit(spec, configVersion), peers())
                .thenApply(
                        reply ->
                                reply.fold(
                                        ForwardingWorkflowService::toSubmitResult,
                                        ForwardingWorkflowService::verdict));
    }

    private static SubmitResult toSubmitResult(CallError error) {
        return error.verdict() == Verdict.NOT_RUN
                ? SubmitResult.notRun(error.message(), RETRY_AFTER_MILLIS)
                : SubmitResult.mayHaveRun(error.message());
    }

    private static SubmitResult verdict(WorkflowReply reply) {
        SubmitResult submitted = reply.submitted();
        return submitted == null ? SubmitResult.mayHaveRun("empty answer of a peer") : submitted;
    }

    @Override
    public CompletableFuture<StateResult> state(String id) {
        if (mStoreAvailable.getAsBoolean() || mLocal.isFinished(id)) {
            return mLocal.state(id);
        }
        return forward(WorkflowCall.state(id), peers())
                .thenCompose(
                        reply ->
                                reply.isRight() && reply.get().known()
                                        ? CompletableFuture.completedFuture(
                                                reply.get().toStateResult())
                                        : mLocal.state(id));
    }

    @Override
    public CompletableFuture<CancelResult> cancel(String id) {
        if (mStoreAvailable.getAsBoolean()) {
            return mLocal.cancel(id);
        }
        return forward(WorkflowCall.cancel(id), peers())
                .thenApply(reply -> reply.map(WorkflowReply::cancelled).getOrNull())
                .thenApply(result -> result == null ? CancelResult.UNKNOWN : result);
    }

    @Override
    public int pending(String queue) {
        return mLocal.pending(queue);
    }

    /** Serves a call that another daemon has passed on; it is not passed on again. */
    CompletableFuture<byte[]> serve(byte[] payload) {
        try {
            WorkflowCall call = MessageCodec.decode(payload, WorkflowCall.class);
            return serve(call).thenApply(MessageCodec::encode);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private CompletableFuture<WorkflowReply> serve(WorkflowCall call) {
        WorkflowSpec spec = call.spec();
        if (call.kind() == WorkflowCall.Kind.SUBMIT && spec != null) {
            if (!mStoreAvailable.getAsBoolean()) {
                SubmitResult refused =
                        SubmitResult.notRun("the store is out here, too", RETRY_AFTER_MILLIS);
                return CompletableFuture.completedFuture(WorkflowReply.of(refused));
            }
            return mLocal.submit(spec, call.configVersion()).thenApply(WorkflowReply::of);
        }
        if (call.kind() == WorkflowCall.Kind.CANCEL) {
            return mLocal.cancel(call.id()).thenApply(WorkflowReply::of);
        }
        return mLocal.state(call.id()).thenApply(WorkflowReply::of);
    }

    private List<MemberRow> peers() {
        List<MemberRow> peers = new ArrayList<>(mMembers.all());
        peers.remove(mMembers.self());
        Collections.shuffle(peers, ThreadLocalRandom.current());
        return peers.subList(0, Math.min(MAX_PEERS, peers.size()));
    }

    /** Tries one daemon after the other until one has served the call or may have. */
    private CompletableFuture<Either<CallError, WorkflowReply>> forward(
            WorkflowCall call, List<MemberRow> peers) {
        if (peers.isEmpty()) {
            CallError none = CallError.notRun(CallError.Kind.UNREACHABLE, "no peer has stored it");
            return CompletableFuture.completedFuture(Either.left(none));
        }
        MemberRow peer = peers.get(0);
        return mPeers.call(
                        peer.address(),
                        PeerCallType.WORKFLOW_CALL.number(),
                        TrafficClass.URGENT,
                        MessageCodec.encode(call),
                        PEER_TIMEOUT_MILLIS)
                .thenApply(reply -> reply.flatMap(ForwardingWorkflowService::decode))
                .thenCompose(
                        reply -> {
                            LOG.log(
                                    LogEvent.WORKFLOW_FORWARDED,
                                    call.id(),
                                    call.kind(),
                                    peer.name(),
                                    reply.fold(CallError::message, WorkflowReply::toString));
                            return isFinal(reply)
                                    ? CompletableFuture.completedFuture(reply)
                                    : forward(call, peers.subList(1, peers.size()));
                        });
    }

    private static boolean isFinal(Either<CallError, WorkflowReply> reply) {
        if (reply.isLeft()) {
            return reply.getLeft().verdict() != Verdict.NOT_RUN;
        }
        SubmitResult submitted = reply.get().submitted();
        return submitted == null || submitted.verdict() != Verdict.NOT_RUN;
    }

    private static Either<CallError, WorkflowReply> decode(byte[] bytes) {
        try {
            return Either.right(MessageCodec.decode(bytes, WorkflowReply.class));
        } catch (IOException e) {
            return Either.left(
                    CallError.mayHaveRun(CallError.Kind.BROKEN, String.valueOf(e.getMessage())));
        }
    }
}
