package org.hyssoprouter.daemon.peer;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.vavr.control.Option;
import java.net.ConnectException;
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

/** Sends calls to one peer and matches the answers to them by correlation id. */
final class ClientConnection extends PeerConnection {
    /** Maximum number of unanswered calls on one connection. */
    static final int MAX_PENDING_CALLS = 2048;

    /** Time since the last call after which a connection without unanswered calls is closed. */
    static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private final EventLoop mLoop;
    private final Map<Long, PendingCall> mPendingCalls = new HashMap<>();
    private final AtomicInteger mPendingCount = new AtomicInteger();
    private final AtomicBoolean mConnecting = new AtomicBoolean();
    private long mLastCallMillis;
    private volatile boolean mClosed;

    /** Result of calls that are queued only after the connection has ended; loop thread only. */
    private CallError.Kind mClosedKind = CallError.Kind.UNREACHABLE;

    ClientConnection(EventLoop loop, LinkContext linkContext) {
        super(linkContext);
        mLoop = loop;
        mLastCallMillis = linkContext.clock().millis();
    }

    /** Returns true on the first call only, so that exactly one thread opens the connection. */
    boolean tryStartConnecting() {
        return mConnecting.compareAndSet(false, true);
    }

    boolean isClosed() {
        return mClosed;
    }

    EventLoop loop() {
        return mLoop;
    }

    /** Schedules a call on the event loop; may be called from any thread. */
    void submit(PendingCall call, long timeoutMillis) {
        if (mPendingCount.incrementAndGet() > MAX_PENDING_CALLS) {
            mPendingCount.decrementAndGet();
            call.reject(CallError.Kind.BUSY, "too many unanswered calls to this peer");
            return;
        }
        long submittedMillis = clock().millis();
        mLoop.execute(() -> enqueue(call, submittedMillis, timeoutMillis));
    }

    /**
     * Sets the region of the peer and queues a {@code HELLO} frame with the region of this daemon.
     * Called before the connection is opened.
     */
    void sendHello(RegionSettings settings, String address) {
        setPeerRegion(settings.regionOf().apply(address));
        byte[] region = settings.region().getBytes(StandardCharsets.UTF_8);
        queue().offerControl(Frame.hello(region));
    }

    /** Fails all pending calls after the connection could not be opened. */
    void onConnectFailed(@Nullable Throwable cause) {
        // The exception of a timeout is a subclass.
        boolean refused =
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        mClosedKind = refused ? CallError.Kind.ABSENT : CallError.Kind.UNREACHABLE;
        failAll(mClosedKind, "cannot connect to the peer: " + cause);
    }

    private void enqueue(PendingCall call, long submittedMillis, long timeoutMillis) {
        if (mClosed) {
            mPendingCount.decrementAndGet();
            call.reject(mClosedKind, "the connection to the peer is closed");
            return;
        }
        long remainingMillis = timeoutMillis - (clock().millis() - submittedMillis);
        if (remainingMillis <= 0) {
            mPendingCount.decrementAndGet();
            call.reject(CallError.Kind.TIMEOUT, "the deadline expired before the call was sent");
            return;
        }
        if (!queue().offer(call.message())) {
            mPendingCount.decrementAndGet();
            call.reject(CallError.Kind.BUSY, "the send queue of this peer is full");
            return;
        }
        mLastCallMillis = clock().millis();
        mPendingCalls.put(call.id(), call);
        call.setTimer(mLoop.schedule(() -> expire(call), remainingMillis, TimeUnit.MILLISECONDS));
        writeQueued();
    }

    private void expire(PendingCall call) {
        if (!remove(call.id())) {
            return;
        }
        queue().remove(call.message());
        assembler().discard(call.id());
        if (call.message().isFullySent()) {
            call.fail(CallError.Kind.TIMEOUT, "no complete answer before the deadline");
            return;
        }
        // The peer may hold chunks of the incomplete body; CANCEL makes it discard them.
        sendControl(Frame.control(Frame.Kind.CANCEL, call.id()));
        call.reject(CallError.Kind.TIMEOUT, "the deadline expired before the call was sent");
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
        failAll(CallError.Kind.BROKEN, "the connection to the peer was lost");
    }

    private void failAll(CallError.Kind kind, String message) {
        mClosed = true;
        List<PendingCall> calls = new ArrayList<>(mPendingCalls.values());
        mPendingCalls.clear();
        mPendingCount.addAndGet(-calls.size());
        calls.forEach(call -> call.fail(kind, message));
    }
}
