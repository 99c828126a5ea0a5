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
 * One connection: its queue, its pings and the watch for silence. All state is confined to the
 * event loop of the connection.
 */
abstract class PeerConnection extends SimpleChannelInboundHandler<Frame> {
    /** Time between two pings in milliseconds. */
    static final long PING_INTERVAL_MILLIS = 1000;

    /** Time without any frame after which a connection is closed, in milliseconds. */
    static final long SILENCE_TIMEOUT_MILLIS = 3000;

    private final LinkContext mLinkContext;
    private final SendQueue mQueue = new SendQueue();
    private final ChunkAssembler mAssembler = new ChunkAssembler();
    private @Nullable Channel mChannel;
    private @Nullable ScheduledFuture<?> mPingTimer;
    private @Nullable ScheduledFuture<?> mRateLimitRetry;
    private boolean mCrossRegion;
    private long mLastFrameMillis;

    PeerConnection(LinkContext parts) {
        super(Frame.class, false);
        mLinkContext = parts;
    }

    /** Handles a frame that is neither a ping nor a pong. */
    abstract void onFrame(Frame frame);

    /** Called each {@link #PING_INTERVAL_MILLIS} on a connection that is not silent. */
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

    /** Closes the connection; what is open ends through {@link #onClosed()}. */
    void close() {
        if (mChannel != null) {
            ChannelFuture unused = mChannel.close();
        }
    }

    /** Sends a frame before all messages that wait. */
    void sendControl(Frame frame) {
        mQueue.offerControl(frame);
        writeQueued();
    }

    /** Writes what waits as long as the connection takes it without piling up. */
    void writeQueued() {
        Channel channel = mChannel;
        if (channel == null || !channel.isActive()) {
            return;
        }
        // Only what fits below the high-water mark is written, so that a pressing message that
        // comes
        // later is not behind bytes already handed to the connection.
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
        Option<CrossRegionRateLimiter> budget =
                mCrossRegion ? mLinkContext.rateLimiter() : Option.none();
        int bytes = message.nextChunkBytes() + Frame.OVERHEAD_BYTES;
        if (budget.exists(b -> !b.tryTake(bytes, message.trafficClass()))) {
            return false;
        }
        if (mCrossRegion) {
            counters().recordCrossRegionBytes(message.type(), bytes);
        }
        return true;
    }

    private void scheduleRateLimitRetry() {
        List<OutgoingMessage> heads = mQueue.heads();
        Channel channel = mChannel;
        if (channel == null || heads.isEmpty()) {
            return;
        }
        if (mRateLimitRetry != null) {
            mRateLimitRetry.cancel(false);
        }
        long waitMillis = heads.stream().mapToLong(this::rateLimitWaitMillis).min().orElse(1);
        mRateLimitRetry =
                channel.eventLoop()
                        .schedule(
                                this::writeQueued, Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
    }

    private long rateLimitWaitMillis(OutgoingMessage message) {
        int bytes = message.nextChunkBytes() + Frame.OVERHEAD_BYTES;
        return mLinkContext
                .rateLimiter()
                .map(budget -> budget.millisUntil(bytes, message.trafficClass()))
                .getOrElse(0L);
    }

    /** Notes the region of the far end. */
    void setPeerRegion(String region) {
        mCrossRegion =
                mLinkContext.regionSettings().exists(regions -> regions.isOtherRegion(region));
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
