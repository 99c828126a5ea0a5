package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Forwards callers' calls to another daemon while the table store does not answer this one. Covers
 * the case that the store rejects or does not answer some of the hosts but serves the others. While
 * transactions are slow, submissions go to the daemon that writes their partition.
 */
final class ForwardingWorkflowService implements WorkflowService {
    private static final EventLogger LOG = EventLogger.of(ForwardingWorkflowService.class);

    /** Maximum number of peers tried for one call. */
    private static final int MAX_PEERS = 2;

    /**
     * Timeout of a forwarded call: a write to a healthy store plus the latency between two regions.
     */
    private static final long PEER_TIMEOUT_MILLIS = 700;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Time after which an open submission is also forwarded, if the store seems unavailable. */
    private static final long LOCAL_SUBMIT_MILLIS = 1_400;

    /** Timeout of a grouped submission: the transaction in progress and the next one, both slow. */
    private static final long GROUPED_TIMEOUT_MILLIS = 2_400;

    private final LocalWorkflowService mLocal;
    private final SubmissionGrouping mGrouping;
    private final BooleanSupplier mStoreAvailable;
    private final Supplier<List<MemberRow>> mOtherMembers;
    private final UnreachablePeers mUnreachable;
    private final PeerTransport mPeers;
    private final SerialExecutor mThread;

    /**
     * Creates a service.
     *
     * @param storeAvailable whether the store has answered this daemon recently
     * @param otherMembers returns the other daemons
     * @param unreachable peers that do not answer, which are tried last
     */
    ForwardingWorkflowService(
            LocalWorkflowService local,
            SubmissionGrouping grouping,
            BooleanSupplier storeAvailable,
            Supplier<List<MemberRow>> otherMembers,
            UnreachablePeers unreachable,
            PeerTransport peers,
            SerialExecutor thread) {
        mLocal = local;
        mGrouping = grouping;
        mStoreAvailable = storeAvailable;
        mOtherMembers = otherMembers;
        mUnreachable = unreachable;
        mPeers = peers;
        mThread = thread;
    }

    @Override
    public CompletableFuture<SubmitResult> submit(WorkflowSpec spec, long configVersion) {
        List<HedgedWrite.Attempt> attempts = new ArrayList<>();
        WorkflowCall call = WorkflowCall.submit(spec, configVersion);
        if (mStoreAvailable.getAsBoolean()) {
            Option<MemberRow> writer =
                    mLocal.isKnown(spec.id())
                            ? Option.none()
                            : mGrouping.writerOf(spec.id(), mLocal.oldestWriteMillis());
            if (writer.isDefined()) {
                return submitToWriter(writer.get(), call);
            }
            attempts.add(
                    new HedgedWrite.Attempt(
                            0, () -> true, () -> mLocal.submit(spec, configVersion)));
        }
        long hedgeDelayMillis = LOCAL_SUBMIT_MILLIS;
        for (MemberRow peer : peers()) {
            attempts.add(
                    new HedgedWrite.Attempt(
                            hedgeDelayMillis,
                            () -> !mStoreAvailable.getAsBoolean(),
                            () -> submitTo(peer, call, PEER_TIMEOUT_MILLIS)));
            hedgeDelayMillis += PEER_TIMEOUT_MILLIS;
        }
        return HedgedWrite.start(mThread, attempts, LocalWorkflowService.WRITE_LIMIT_MILLIS);
    }

    /** Submits through a writer, or directly if the writer cannot be reached. */
    private CompletableFuture<SubmitResult> submitToWriter(MemberRow writer, WorkflowCall call) {
        WorkflowSpec spec = Objects.requireNonNull(call.spec(), "not a submission");
        return mGrouping
                .recordDuration(callPeer(call, writer, GROUPED_TIMEOUT_MILLIS))
                .thenCompose(
                        reply -> {
                            if (!isFinal(reply)) {
                                return mLocal.submit(spec, call.configVersion());
                            }
                            SubmitResult result = resultOf(reply);
                            if (result.verdict() == Verdict.RAN) {
                                mLocal.recordAccepted(spec);
                            }
                            return CompletableFuture.completedFuture(result);
                        });
    }

    private CompletableFuture<SubmitResult> submitTo(
            MemberRow peer, WorkflowCall call, long timeoutMillis) {
        return callPeer(call, peer, timeoutMillis).thenApply(ForwardingWorkflowService::resultOf);
    }

    private static SubmitResult resultOf(Either<CallError, WorkflowReply> reply) {
        return reply.fold(
                ForwardingWorkflowService::resultOfError, ForwardingWorkflowService::resultOfReply);
    }

    private static SubmitResult resultOfError(CallError error) {
        return error.verdict() == Verdict.NOT_RUN
                ? SubmitResult.notRun(error.message(), RETRY_AFTER_MILLIS)
                : SubmitResult.mayHaveRun(error.message());
    }

    private static SubmitResult resultOfReply(WorkflowReply reply) {
        SubmitResult submitted = reply.submitted();
        return submitted == null
                ? SubmitResult.mayHaveRun("reply of the peer holds no result of the submission")
                : submitted;
    }

    @Override
    public CompletableFuture<StateResult> state(String id, String workspace) {
        if (mStoreAvailable.getAsBoolean() || mLocal.isFinished(id)) {
            return mLocal.state(id, workspace);
        }
        return forward(WorkflowCall.state(id, workspace), peers())
                .thenCompose(
                        reply ->
                                reply.isRight() && reply.get().known()
                                        ? CompletableFuture.completedFuture(
                                                reply.get().toStateResult())
                                        : mLocal.state(id, workspace));
    }

    @Override
    public CompletableFuture<CancelResult> cancel(String id, String workspace) {
        if (mStoreAvailable.getAsBoolean()) {
            return mLocal.cancel(id, workspace);
        }
        return forward(WorkflowCall.cancel(id, workspace), peers())
                .thenApply(reply -> reply.map(WorkflowReply::cancelled).getOrNull())
                .thenApply(result -> result == null ? CancelResult.UNKNOWN : result);
    }

    @Override
    public Option<Integer> pending(String queue) {
        return mLocal.pending(queue);
    }

    /** Serves a call that another daemon has forwarded; it is not forwarded again. */
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
                        SubmitResult.notRun(
                                "table store does not answer this peer either", RETRY_AFTER_MILLIS);
                return CompletableFuture.completedFuture(WorkflowReply.of(refused));
            }
            return mLocal.submit(spec, call.configVersion()).thenApply(WorkflowReply::of);
        }
        if (call.kind() == WorkflowCall.Kind.CANCEL) {
            return mLocal.cancel(call.id(), call.workspace()).thenApply(WorkflowReply::of);
        }
        if (!mStoreAvailable.getAsBoolean() && !mLocal.isFinished(call.id())) {
            return CompletableFuture.completedFuture(WorkflowReply.of(StateResult.unknown()));
        }
        return mLocal.state(call.id(), call.workspace()).thenApply(WorkflowReply::of);
    }

    private List<MemberRow> peers() {
        List<MemberRow> peers = new ArrayList<>(mOtherMembers.get());
        Collections.shuffle(peers, ThreadLocalRandom.current());
        return mUnreachable.failedLast(peers).subList(0, Math.min(MAX_PEERS, peers.size()));
    }

    /** Calls the peers in turn until one has served the call or may have done so. */
    private CompletableFuture<Either<CallError, WorkflowReply>> forward(
            WorkflowCall call, List<MemberRow> peers) {
        if (peers.isEmpty()) {
            CallError none =
                    CallError.notRun(CallError.Kind.UNREACHABLE, "no peer could serve the call");
            return CompletableFuture.completedFuture(Either.left(none));
        }
        return callPeer(call, peers.get(0), PEER_TIMEOUT_MILLIS)
                .thenCompose(
                        reply ->
                                isFinal(reply) && !isUnknownState(call, reply)
                                        ? CompletableFuture.completedFuture(reply)
                                        : forward(call, peers.subList(1, peers.size())));
    }

    private CompletableFuture<Either<CallError, WorkflowReply>> callPeer(
            WorkflowCall call, MemberRow peer, long timeoutMillis) {
        return mPeers.call(
                        peer.address(),
                        PeerCallType.WORKFLOW_CALL.number(),
                        TrafficClass.URGENT,
                        MessageCodec.encode(call),
                        timeoutMillis)
                .thenApply(reply -> reply.flatMap(ForwardingWorkflowService::decode))
                .thenApply(
                        reply -> {
                            mUnreachable.record(peer, reply.isRight());
                            LOG.log(
                                    LogEvent.WORKFLOW_FORWARDED,
                                    call.id(),
                                    call.kind(),
                                    peer.name(),
                                    reply.fold(CallError::message, WorkflowReply::toString));
                            return reply;
                        });
    }

    private static boolean isFinal(Either<CallError, WorkflowReply> reply) {
        return reply.isRight() || reply.getLeft().verdict() != Verdict.NOT_RUN;
    }

    /** Returns whether a peer that cannot read the store either was asked for a state. */
    private static boolean isUnknownState(
            WorkflowCall call, Either<CallError, WorkflowReply> reply) {
        return call.kind() == WorkflowCall.Kind.STATE && reply.exists(it -> !it.known());
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
