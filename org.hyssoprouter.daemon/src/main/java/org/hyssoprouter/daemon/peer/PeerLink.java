package org.hyssoprouter.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Calls between daemons over TCP: one connection to each daemon that this one calls, frames in
 * MessagePack, a queue per traffic class.
 *
 * @since 0.1
 */
public final class PeerLink implements PeerTransport, Service {
    private static final int THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int LOW_WATER_BYTES = 16 * 1024;
    private static final int HIGH_WATER_BYTES = 48 * 1024;
    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final long STOP_TIMEOUT_MILLIS = 2000;

    private final String mListenAddress;
    private final LinkCounters mCounters = new LinkCounters();
    private final LinkParts mParts;
    private final AtomicLong mLastId = new AtomicLong();
    private final ConcurrentHashMap<String, CallingChannel> mCallers = new ConcurrentHashMap<>();
    private final EventLoopGroup mGroup =
            new NioEventLoopGroup(THREADS, new DefaultThreadFactory("peer-link", true));
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile @Nullable Handler mHandler;
    private volatile @Nullable Channel mListener;
    private volatile boolean mStopped;

    /**
     * Creates the link; nothing is bound before {@link #start()}.
     *
     * @param listenAddress {@code ip:port} to listen on; port 0 chooses a free one
     * @param clock clock for pings and deadlines
     */
    public PeerLink(String listenAddress, MonotonicClock clock) {
        mListenAddress = listenAddress;
        mParts = new LinkParts(clock, mCounters);
    }

    /** Sets who answers the calls of other daemons; called before {@link #start()}. */
    public void setHandler(Handler handler) {
        mHandler = handler;
    }

    /** Limits what is sent to other regions; called before {@link #start()}. */
    public void setRegions(LinkRegions regions) {
        mParts.setRegions(regions);
    }

    /** Returns the counts of this link. */
    public LinkCounters counters() {
        return mCounters;
    }

    /**
     * Returns the port that the link listens on.
     *
     * @throws IllegalStateException if the link has not started
     */
    public int port() {
        Channel listener = mListener;
        if (listener == null) {
            throw new IllegalStateException("the link has not started");
        }
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Binds the listener.
     *
     * @throws IllegalStateException if no handler was set or the address cannot be bound
     */
    @Override
    public void start() {
        Handler handler = mHandler;
        if (handler == null) {
            throw new IllegalStateException("no handler for calls of other daemons is set");
        }
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, heapAllocator())
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(accepting(handler));
        ChannelFuture bound =
                bootstrap.bind(PeerAddress.parse(mListenAddress)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + mListenAddress, bound.cause());
        }
        mListener = bound.channel();
        mChannels.add(bound.channel());
    }

    @Override
    public void stop() {
        mStopped = true;
        mChannels.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
        Future<?> unused = mGroup.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<Either<CallError, byte[]>> call(
            String address,
            int type,
            TrafficClass trafficClass,
            byte[] payload,
            long timeoutMillis) {
        OpenCall call = new OpenCall(mLastId.incrementAndGet(), type, trafficClass, payload);
        if (mStopped) {
            call.reject(CallError.Kind.UNREACHABLE, "the link is stopped");
            return call.result();
        }
        if (payload.length > Reassembly.MAX_BODY_BYTES) {
            call.reject(CallError.Kind.REFUSED, "body is larger than the limit of the link");
            return call.result();
        }
        try {
            callerFor(address).submit(call, timeoutMillis);
        } catch (IllegalArgumentException e) {
            call.reject(CallError.Kind.UNREACHABLE, "address is not ip:port: " + address);
        }
        return call.result();
    }

    private CallingChannel callerFor(String address) {
        CallingChannel caller = mCallers.get(address);
        if (caller != null && !caller.isClosed()) {
            return caller;
        }
        InetSocketAddress target = PeerAddress.parse(address);
        mCallers.values().removeIf(CallingChannel::isClosed);
        CallingChannel fresh =
                mCallers.computeIfAbsent(
                        address, unused -> new CallingChannel(mGroup.next(), mParts));
        if (fresh.startDialing()) {
            dial(fresh, address, target);
        }
        return fresh;
    }

    private void dial(CallingChannel caller, String address, InetSocketAddress target) {
        mParts.regions()
                .forEach(regions -> caller.loop().execute(() -> caller.greet(regions, address)));
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(caller.loop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOCATOR, heapAllocator())
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .handler(initializer(() -> caller));
        ChannelFuture unused =
                bootstrap
                        .connect(target)
                        .addListener(
                                done -> {
                                    if (!done.isSuccess()) {
                                        caller.connectFailed(done.cause());
                                    }
                                });
    }

    private ChannelInitializer<Channel> accepting(Handler handler) {
        return initializer(() -> new AnsweringChannel(handler, mParts));
    }

    private ChannelInitializer<Channel> initializer(Supplier<FrameChannel> end) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                mChannels.add(channel);
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        Frame.MAX_ENCODED_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new FrameDecoder(mCounters))
                        .addLast(new FrameEncoder(mCounters))
                        .addLast(end.get());
            }
        };
    }

    private static UnpooledByteBufAllocator heapAllocator() {
        return new UnpooledByteBufAllocator(false, true);
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES);
    }
}
