package org.hyssoprouter.daemon.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Manages one connection to another daemon: sends queued frames, pings the peer and closes the
 * connection when the peer stays silent. All state is confined to the connection's event loop.
 */
abstract class PeerConnection extends SimpleChannelInboundHandler<Frame> {
    /** Interval between pings in milliseconds. */
    static final long PING_INTERVAL_MILLIS = 1000;

    /** Time without any received frame after which the connection is closed. */
    static final long SILENCE_TIMEOUT_MILLIS = 3000;

    private final LinkContext mLinkContext;
    private final SendQueue mQueue = new SendQueue();
    private final ChunkAssembler mAssembler = new ChunkAssembler();
    private @Nullable Channel mChannel;
    private @Nullable ScheduledFuture<?> mPingTimer;
    private @Nullable ScheduledFuture<?> mRateLimitRetry;
    private boolean mCrossRegion;
    private long mLastFrameMillis;

    PeerConnection(LinkContext linkContext) {
        super(Frame.class, false);
        mLinkContext = linkContext;
    }

    /** Handles a frame other than {@code PING} and {@code PONG}. */
    abstract void onFrame(Frame frame);

    /** Called every {@link #PING_INTERVAL_MILLIS} while the connection is not silent. */
    abstract void onPingTimer();

    /** Called once after the connection has closed. */
    abstract void onClosed();

    LinkCounters counters() {
        return mLinkContext.counters();
    }

    MonotonicClock clock() {
        return mLinkContext.clock();
    }

    SendQueue queue() {
        return mQueue;
    }

    ChunkAssembler assembler() {
        return mAssembler;
    }

    /** Closes the connection; {@link #onClosed()} then ends its unfinished calls. */
    void close() {
        if (mChannel != null) {
            ChannelFuture unused = mChannel.close();
        }
    }

    /** Sends a control frame ahead of all queued messages. */
    void sendControl(Frame frame) {
        mQueue.offerControl(frame);
        writeQueued();
    }

    /** Writes queued frames while the connection is writable and the rate limit allows it. */
    void writeQueued() {
        Channel channel = mChannel;
        if (channel == null || !channel.isActive()) {
            return;
        }
        // Frames beyond the high-water mark stay in the queue, where a later message of a higher
        // class can overtake them; bytes already written to the connection cannot be overtaken.
        while (channel.isWritable()) {
            Option<Frame> frame = nextFrame();
            if (frame.isEmpty()) {
                break;
            }
            ChannelFuture unused = channel.write(frame.get());
        }
        channel.flush();
    }

    private Option<Frame> nextFrame() {
        Option<Frame> control = mQueue.pollControl();
        if (control.isDefined()) {
            return control;
        }
        Option<OutgoingMessage> message = mQueue.peek(this::tryReserve);
        if (message.isEmpty()) {
            scheduleRateLimitRetry();
        }
        return message.map(mQueue::pollChunk);
    }

    private boolean tryReserve(OutgoingMessage message) {
        Option<CrossRegionRateLimiter> limiter =
                mCrossRegion ? mLinkContext.rateLimiter() : Option.none();
        int bytes = message.nextChunkBytes() + Frame.OVERHEAD_BYTES;
        if (limiter.exists(l -> !l.tryAcquire(bytes, message.trafficClass()))) {
            return false;
        }
        if (mCrossRegion) {
            counters().recordCrossRegionBytes(message.type(), bytes);
        }
        return true;
    }

    private void scheduleRateLimitRetry() {
        List<OutgoingMessage> candidates = mQueue.heads();
        Channel channel = mChannel;
        if (channel == null || candidates.isEmpty()) {
            return;
        }
        if (mRateLimitRetry != null) {
            mRateLimitRetry.cancel(false);
        }
        long waitMillis = candidates.stream().mapToLong(this::rateLimitWaitMillis).min().orElse(1);
        mRateLimitRetry =
                channel.eventLoop()
                        .schedule(
                                this::writeQueued, Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
    }

    private long rateLimitWaitMillis(OutgoingMessage message) {
        int bytes = message.nextChunkBytes() + Frame.OVERHEAD_BYTES;
        return mLinkContext
                .rateLimiter()
                .map(limiter -> limiter.millisUntilAvailable(bytes, message.trafficClass()))
                .getOrElse(0L);
    }

    /** Sets the region of the peer; messages to another region are rate-limited. */
    void setPeerRegion(String region) {
        mCrossRegion =
                mLinkContext.regionSettings().exists(settings -> settings.isOtherRegion(region));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
        mLastFrameMillis = clock().millis();
        mPingTimer =
                context.executor()
                        .scheduleAtFixedRate(
                                this::checkSilence,
                                PING_INTERVAL_MILLIS,
                                PING_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
        writeQueued();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        mLastFrameMillis = clock().millis();
        switch (frame.kind()) {
            case PING -> sendControl(Frame.control(Frame.Kind.PONG, 0));
            case PONG -> {}
            default -> onFrame(frame);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writeQueued();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mPingTimer != null) {
            mPingTimer.cancel(false);
        }
        onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            counters().recordCorruptConnection();
        }
        ChannelFuture unused = context.close();
    }

    private void checkSilence() {
        if (clock().millis() - mLastFrameMillis >= SILENCE_TIMEOUT_MILLIS) {
            counters().recordSilentConnection();
            close();
            return;
        }
        onPingTimer();
    }
}
