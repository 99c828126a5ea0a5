package org.hyssoprouter.daemon.peer;

import io.netty.channel.EventLoop;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.errors.CallError;
import org.jspecify.annotations.Nullable;

/** The end of a connection that makes the calls. */
final class CallingChannel extends FrameChannel {
    /** Most calls open on one connection. */
    static final int MAX_OPEN_CALLS = 2048;

    /** Time without a call after which a connection is closed, in milliseconds. */
    static final long IDLE_MILLIS = 60_000;

    private final EventLoop mLoop;
    private final Map<Long, OpenCall> mOpenCalls = new HashMap<>();
    private final AtomicInteger mOpenCount = new AtomicInteger();
    private final AtomicBoolean mDialing = new AtomicBoolean();
    private long mUsedMillis;
    private volatile boolean mClosed;

    CallingChannel(EventLoop loop, LinkParts parts) {
        super(parts);
        mLoop = loop;
        mUsedMillis = parts.clock().millis();
    }

    /** Returns true the first time, for the one thread that makes the connection. */
    boolean startDialing() {
        return mDialing.compareAndSet(false, true);
    }

    boolean isClosed() {
        return mClosed;
    }

    EventLoop loop() {
        return mLoop;
    }

    /** Sends a call; may be called on any thread. */
    void submit(OpenCall call, long timeoutMillis) {
        if (mOpenCount.incrementAndGet() > MAX_OPEN_CALLS) {
            mOpenCount.decrementAndGet();
            call.reject(CallError.Kind.BUSY, "too many calls are open to this peer");
            return;
        }
        long submittedMillis = clock().millis();
        mLoop.execute(() -> open(call, submittedMillis, timeoutMillis));
    }

    /** Tells the far end the own region; called before the connection is made. */
    void greet(LinkRegions regions, String address) {
        peerRegion(regions.regionOf().apply(address));
        byte[] region = regions.region().getBytes(StandardCharsets.UTF_8);
        queue().offerControl(Frame.hello(region));
    }

    /** Ends all calls after the connection could not be made. */
    void connectFailed(@Nullable Throwable cause) {
        failAll(CallError.Kind.UNREACHABLE, "no connection to the peer: " + cause);
    }

    private void open(OpenCall call, long submittedMillis, long timeoutMillis) {
        if (mClosed) {
            mOpenCount.decrementAndGet();
            call.reject(CallError.Kind.UNREACHABLE, "the connection to the peer has closed");
            return;
        }
        long leftMillis = timeoutMillis - (clock().millis() - submittedMillis);
        if (leftMillis <= 0) {
            mOpenCount.decrementAndGet();
            call.reject(CallError.Kind.TIMEOUT, "the deadline passed before the call was written");
            return;
        }
        if (!queue().offer(call.message())) {
            mOpenCount.decrementAndGet();
            call.reject(CallError.Kind.BUSY, "the queue to this peer is full");
            return;
        }
        mUsedMillis = clock().millis();
        mOpenCalls.put(call.id(), call);
        call.setTimer(mLoop.schedule(() -> expire(call), leftMillis, TimeUnit.MILLISECONDS));
        pump();
    }

    private void expire(OpenCall call) {
        if (!remove(call.id())) {
            return;
        }
        queue().remove(call.message());
        reassembly().drop(call.id());
        if (call.message().isHandedOver()) {
            call.fail(CallError.Kind.TIMEOUT, "no complete answer within the deadline");
            return;
        }
        // The peer may hold chunks of a body whose rest will never come.
        sendControl(Frame.control(Frame.Kind.CANCEL, call.id()));
        call.reject(CallError.Kind.TIMEOUT, "the deadline passed before the call was written");
    }

    private boolean remove(long id) {
        if (mOpenCalls.remove(id) == null) {
            return false;
        }
        mOpenCount.decrementAndGet();
        return true;
    }

    @Override
    void onFrame(Frame frame) {
        OpenCall call = mOpenCalls.get(frame.id());
        if (call == null) {
            if (frame.last()) {
                counters().lateAnswer();
            }
            return;
        }
        switch (frame.kind()) {
            case ANSWER -> answered(call, frame);
            case REJECTED -> {
                remove(call.id());
                call.reject(CallError.Kind.REFUSED, text(frame));
            }
            case FAILED -> {
                remove(call.id());
                call.fail(CallError.Kind.BROKEN, text(frame));
            }
            default -> close();
        }
    }

    private void answered(OpenCall call, Frame frame) {
        Option<byte[]> body = reassembly().add(frame);
        if (body.isEmpty()) {
            return;
        }
        remove(call.id());
        call.succeed(body.get());
    }

    private static String text(Frame frame) {
        return new String(frame.body(), StandardCharsets.UTF_8);
    }

    @Override
    void onTick() {
        boolean idle = mOpenCalls.isEmpty() && clock().millis() - mUsedMillis >= IDLE_MILLIS;
        if (idle) {
            close();
            return;
        }
        sendControl(Frame.control(Frame.Kind.PING, 0));
    }

    @Override
    void onClosed() {
        failAll(CallError.Kind.BROKEN, "the connection to the peer broke");
    }

    private void failAll(CallError.Kind kind, String message) {
        mClosed = true;
        List<OpenCall> calls = new ArrayList<>(mOpenCalls.values());
        mOpenCalls.clear();
        mOpenCount.addAndGet(-calls.size());
        calls.forEach(call -> call.fail(kind, message));
    }
}
