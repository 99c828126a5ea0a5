package org.hyssoprouter.daemon.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerTransport;
import org.jspecify.annotations.Nullable;

/** Handles the calls that a peer sends on a connection accepted by this daemon. */
final class ServerConnection extends PeerConnection {
    /** Maximum number of calls of one connection that the handler may process at the same time. */
    static final int MAX_CALLS_IN_PROGRESS = 2048;

    private final PeerTransport.Handler mHandler;
    private final Set<Long> mIdsInProgress = new HashSet<>();
    private @Nullable ChannelHandlerContext mContext;
    private boolean mClosed;

    ServerConnection(PeerTransport.Handler handler, LinkContext linkContext) {
        super(linkContext);
        mHandler = handler;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        super.channelActive(context);
    }

    @Override
    void onFrame(Frame frame) {
        switch (frame.kind()) {
            case CALL -> handleCall(frame);
            case CANCEL -> assembler().discard(frame.id());
            case HELLO -> setPeerRegion(new String(frame.body(), StandardCharsets.UTF_8));
            default ->
                    throw new CorruptedFrameException(
                            "a client must not send frames of kind " + frame.kind());
        }
    }

    private void handleCall(Frame frame) {
        Option<byte[]> body = assembler().add(frame);
        if (body.isEmpty()) {
            return;
        }
        if (mIdsInProgress.contains(frame.id())) {
            throw new CorruptedFrameException(
                    "correlation id " + frame.id() + " is already in use");
        }
        if (mIdsInProgress.size() >= MAX_CALLS_IN_PROGRESS) {
            sendResponse(
                    Frame.Kind.REJECTED, frame, utf8("too many calls are open on this connection"));
            return;
        }
        mIdsInProgress.add(frame.id());
        invokeHandler(frame, body.get());
    }

    private void invokeHandler(Frame frame, byte[] body) {
        TrafficClass trafficClass = frame.trafficClass();
        CompletableFuture<byte[]> answer;
        try {
            answer = mHandler.handle(frame.type(), trafficClass, body);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        CompletableFuture<byte[]> unused =
                answer.whenComplete((value, failure) -> handleResult(frame, value, failure));
    }

    private void handleResult(Frame frame, byte @Nullable [] answer, @Nullable Throwable failure) {
        ChannelHandlerContext context = mContext;
        if (context == null) {
            return;
        }
        if (answer == null) {
            byte[] text = utf8("handler failed: " + failure);
            context.executor().execute(() -> sendResponse(Frame.Kind.FAILED, frame, text));
            return;
        }
        context.executor().execute(() -> sendResponse(Frame.Kind.ANSWER, frame, answer));
    }

    private void sendResponse(Frame.Kind kind, Frame call, byte[] body) {
        mIdsInProgress.remove(call.id());
        if (mClosed) {
            return;
        }
        TrafficClass trafficClass = call.trafficClass();
        boolean tooLarge = body.length > ChunkAssembler.MAX_BODY_BYTES;
        if (tooLarge
                || !queue().offer(
                                new OutgoingMessage(
                                        kind, call.id(), call.type(), trafficClass, body))) {
            sendControl(Frame.control(Frame.Kind.FAILED, call.id()));
            return;
        }
        writeQueued();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    void onPingTimer() {}

    @Override
    void onClosed() {
        mClosed = true;
    }
}
