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

/** The end of a connection that answers calls. */
final class AnsweringChannel extends FrameChannel {
    /** Most calls of one peer that may be with the handler at once. */
    static final int MAX_OPEN_CALLS = 2048;

    private final PeerTransport.Handler mHandler;
    private final Set<Long> mOpenIds = new HashSet<>();
    private @Nullable ChannelHandlerContext mContext;
    private boolean mClosed;

    AnsweringChannel(PeerTransport.Handler handler, LinkParts parts) {
        super(parts);
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
            case CALL -> called(frame);
            case CANCEL -> reassembly().drop(frame.id());
            case HELLO -> peerRegion(new String(frame.body(), StandardCharsets.UTF_8));
            default -> throw new CorruptedFrameException("a caller never sends " + frame.kind());
        }
    }

    private void called(Frame frame) {
        Option<byte[]> body = reassembly().add(frame);
        if (body.isEmpty()) {
            return;
        }
        if (mOpenIds.contains(frame.id())) {
            throw new CorruptedFrameException("correlation id " + frame.id() + " used twice");
        }
        if (mOpenIds.size() >= MAX_OPEN_CALLS) {
            finish(Frame.Kind.REJECTED, frame, utf8("too many calls are open on this connection"));
            return;
        }
        mOpenIds.add(frame.id());
        handle(frame, body.get());
    }

    private void handle(Frame frame, byte[] body) {
        TrafficClass trafficClass = frame.trafficClass();
        CompletableFuture<byte[]> answer;
        try {
            answer = mHandler.handle(frame.type(), trafficClass, body);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        CompletableFuture<byte[]> unused =
                answer.whenComplete((value, failure) -> complete(frame, value, failure));
    }

    private void complete(Frame frame, byte @Nullable [] answer, @Nullable Throwable failure) {
        ChannelHandlerContext context = mContext;
        if (context == null) {
            return;
        }
        if (answer == null) {
            byte[] text = utf8("handler failed: " + failure);
            context.executor().execute(() -> finish(Frame.Kind.FAILED, frame, text));
            return;
        }
        context.executor().execute(() -> finish(Frame.Kind.ANSWER, frame, answer));
    }

    private void finish(Frame.Kind kind, Frame call, byte[] body) {
        mOpenIds.remove(call.id());
        if (mClosed) {
            return;
        }
        TrafficClass trafficClass = call.trafficClass();
        boolean tooLarge = body.length > Reassembly.MAX_BODY_BYTES;
        if (tooLarge
                || !queue().offer(new Outgoing(kind, call.id(), call.type(), trafficClass, body))) {
            sendControl(Frame.control(Frame.Kind.FAILED, call.id()));
            return;
        }
        pump();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    void onTick() {}

    @Override
    void onClosed() {
        mClosed = true;
    }
}
