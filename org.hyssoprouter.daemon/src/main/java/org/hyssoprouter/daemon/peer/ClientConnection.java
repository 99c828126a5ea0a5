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
final class ClientConnection extends PeerConnection {
    /** Most calls open on one connection. */
    static final int MAX_PENDING_CALLS = 2048;

    /** Time without a call after which a connection is closed, in milliseconds. */
    static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private final EventLoop mLoop;
    private final Map<Long, PendingCall> mPendingCalls = new HashMap<>();
    private final AtomicInteger mPendingCount = new AtomicInteger();
    private final AtomicBoolean mConnecting = new AtomicBoolean();
    private long mLastCallMillis;
    private volatile boolean mClosed;

    ClientConnection(EventLoop loop, LinkContext parts) {
        super(parts);
        mLoop = loop;
        mLastCallMillis = parts.clock().millis();
    }

    /** Returns true the first time, for the one thread that makes the connection. */
    boolean tryStartConnecting() {
        return mConnecting.compareAndSet(false, true);
    }

    boolean isClosed() {
        return mClosed;
    }

    EventLoop loop() {
        return mLoop;
    }

    /** Sends a call; may be called on any thread. */
    void submit(PendingCall call, long timeoutMillis) {
        if (mPendingCount.incrementAndGet() > MAX_PENDING_CALLS) {
            mPendingCount.decrementAndGet();
            call.reject(CallError.Kind.BUSY, "too many calls are open to this peer");
            return;
        }
        long submittedMillis = clock().millis();
        mLoop.execute(() -> enqueue(call, submittedMillis, timeoutMillis));
    }

    /** Tells the far end the own region; called before the connection is made. */
    void sendHello(RegionSettings regions, String address) {
        setPeerRegion(regions.regionOf().apply(address));
        byte[] region = regions.region().getBytes(StandardCharsets.UTF_8);
        queue().offerControl(Frame.hello(region));
    }

    /** Ends all calls after the connection could not be made. */
    void onConnectFailed(@Nullable Throwable cause) {
        failAll(CallError.Kind.UNREACHABLE, "no connection to the peer: " + cause);
    }

    private void enqueue(PendingCall call, long submittedMillis, long timeoutMillis) {
        if (mClosed) {
            mPendingCount.decrementAndGet();
            call.reject(CallError.Kind.UNREACHABLE, "the connection to the peer has closed");
            return;
        }
        long leftMillis = timeoutMillis - (clock().millis() - submittedMillis);
        if (leftMillis <= 0) {
            mPendingCount.decrementAndGet();
            call.reject(CallError.Kind.TIMEOUT, "the deadline passed before the call was written");
            return;
        }
        if (!queue().offer(call.message())) {
            mPendingCount.decrementAndGet();
            call.reject(CallError.Kind.BUSY, "the queue to this peer is full");
            return;
        }
        mLastCallMillis = clock().millis();
        mPendingCalls.put(call.id(), call);
        call.setTimer(mLoop.schedule(() -> expire(call), leftMillis, TimeUnit.MILLISECONDS));
        writeQueued();
    }

    private void expire(PendingCall call) {
        if (!remove(call.id())) {
            return;
        }
        queue().remove(call.message());
        assembler().discard(call.id());
        if (call.message().isFullySent()) {
            call.fail(CallError.Kind.TIMEOUT, "no complete answer within the deadline");
            return;
        }
        // The peer may hold chunks of a body whose rest will never come.
        sendControl(Frame.control(Frame.Kind.CANCEL, call.id()));
        call.reject(CallError.Kind.TIMEOUT, "the deadline passed before the call was written");
    }

    private boolean remove(long id) {
        if (mPendingCalls.remove(id) == null) {
            return false;
        }
        mPendingCount.decrementAndGet();
        return true;
    }

    @Override
    void onFrame(Frame frame) {
        PendingCall call = mPendingCalls.get(frame.id());
        if (call == null) {
            if (frame.last()) {
                counters().recordLateAnswer();
            }
            return;
        }
        switch (frame.kind()) {
            case ANSWER -> handleAnswer(call, frame);
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

    private void handleAnswer(PendingCall call, Frame frame) {
        Option<byte[]> body = assembler().add(frame);
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
    void onPingTimer() {
        boolean idle =
                mPendingCalls.isEmpty()
                        && clock().millis() - mLastCallMillis >= IDLE_TIMEOUT_MILLIS;
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
        List<PendingCall> calls = new ArrayList<>(mPendingCalls.values());
        mPendingCalls.clear();
        mPendingCount.addAndGet(-calls.size());
        calls.forEach(call -> call.fail(kind, message));
    }
}
