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
abstract class FrameChannel extends SimpleChannelInboundHandler<Frame> {
    /** Time between two pings in milliseconds. */
    static final long PING_MILLIS = 1000;

    /** Time without any frame after which a connection is closed, in milliseconds. */
    static final long SILENCE_MILLIS = 3000;

    private final LinkParts mParts;
    private final SendQueue mQueue = new SendQueue();
    private final Reassembly mReassembly = new Reassembly();
    private @Nullable Channel mChannel;
    private @Nullable ScheduledFuture<?> mTick;
    private @Nullable ScheduledFuture<?> mBudgetWait;
    private boolean mOtherRegion;
    private long mHeardMillis;

    FrameChannel(LinkParts parts) {
        super(Frame.class, false);
        mParts = parts;
    }

    /** Handles a frame that is neither a ping nor a pong. */
    abstract void onFrame(Frame frame);

    /** Called each {@link #PING_MILLIS} on a connection that is not silent. */
    abstract void onTick();

    /** Called once after the connection has closed. */
    abstract void onClosed();

    LinkCounters counters() {
        return mParts.counters();
    }

    MonotonicClock clock() {
        return mParts.clock();
    }

    SendQueue queue() {
        return mQueue;
    }

    Reassembly reassembly() {
        return mReassembly;
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
        pump();
    }

    /** Writes what waits as long as the connection takes it without piling up. */
    void pump() {
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
        Option<Frame> control = mQueue.nextControl();
        if (control.isDefined()) {
            return control;
        }
        Option<Outgoing> message = mQueue.peek(this::maySend);
        if (message.isEmpty()) {
            waitForBudget();
        }
        return message.map(mQueue::next);
    }

    private boolean maySend(Outgoing message) {
        Option<RegionBudget> budget = mOtherRegion ? mParts.budget() : Option.none();
        int bytes = message.nextBytes() + Frame.OVERHEAD_BYTES;
        if (budget.exists(b -> !b.tryTake(bytes, message.trafficClass()))) {
            return false;
        }
        if (mOtherRegion) {
            counters().sentToOtherRegion(message.type(), bytes);
        }
        return true;
    }

    private void waitForBudget() {
        List<Outgoing> heads = mQueue.heads();
        Channel channel = mChannel;
        if (channel == null || heads.isEmpty()) {
            return;
        }
        if (mBudgetWait != null) {
            mBudgetWait.cancel(false);
        }
        long waitMillis = heads.stream().mapToLong(this::budgetWaitMillis).min().orElse(1);
        mBudgetWait =
                channel.eventLoop()
                        .schedule(this::pump, Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
    }

    private long budgetWaitMillis(Outgoing message) {
        int bytes = message.nextBytes() + Frame.OVERHEAD_BYTES;
        return mParts.budget()
                .map(budget -> budget.millisUntil(bytes, message.trafficClass()))
                .getOrElse(0L);
    }

    /** Notes the region of the far end. */
    void peerRegion(String region) {
        mOtherRegion = mParts.regions().exists(regions -> regions.isOther(region));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
        mHeardMillis = clock().millis();
        mTick =
                context.executor()
                        .scheduleAtFixedRate(
                                this::tick, PING_MILLIS, PING_MILLIS, TimeUnit.MILLISECONDS);
        pump();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        mHeardMillis = clock().millis();
        switch (frame.kind()) {
            case PING -> sendControl(Frame.control(Frame.Kind.PONG, 0));
            case PONG -> {}
            default -> onFrame(frame);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        pump();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mTick != null) {
            mTick.cancel(false);
        }
        onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            counters().corruptConnection();
        }
        ChannelFuture unused = context.close();
    }

    private void tick() {
        if (clock().millis() - mHeardMillis >= SILENCE_MILLIS) {
            counters().silentConnection();
            close();
            return;
        }
        onTick();
    }
}
