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
 * Carries calls between daemons over TCP. Each called daemon gets one connection, with frames
 * encoded in MessagePack and a send queue per traffic class.
 *
 * @since 0.1
 */
public final class PeerLink implements PeerTransport, Service {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int LOW_WATER_BYTES = 16 * 1024;
    private static final int HIGH_WATER_BYTES = 48 * 1024;
    private static final int LENGTH_FIELD_BYTES = Integer.BYTES;
    private static final long STOP_TIMEOUT_MILLIS = 2000;

    private final String mListenAddress;
    private final LinkCounters mCounters = new LinkCounters();
    private final LinkContext mLinkContext;
    private final AtomicLong mLastId = new AtomicLong();
    private final ConcurrentHashMap<String, ClientConnection> mClientConnections =
            new ConcurrentHashMap<>();
    private final EventLoopGroup mEventLoops =
            new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("peer-link", true));
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile @Nullable Handler mHandler;
    private volatile @Nullable Channel mListener;
    private volatile boolean mStopped;

    /**
     * Creates the link; {@link #start()} binds the listener.
     *
     * @param listenAddress {@code ip:port} to listen on; port 0 selects a free port
     * @param clock clock for silence and idle timeouts, deadlines and rate limits
     */
    public PeerLink(String listenAddress, MonotonicClock clock) {
        mListenAddress = listenAddress;
        mLinkContext = new LinkContext(clock, mCounters);
    }

    /** Sets the handler for calls of other daemons; must be called before {@link #start()}. */
    public void setHandler(Handler handler) {
        mHandler = handler;
    }

    /** Enables the limit on traffic to other regions; must be called before {@link #start()}. */
    public void setRegionSettings(RegionSettings settings) {
        mLinkContext.setRegionSettings(settings);
    }

    /** Returns the counters of this link. */
    public LinkCounters counters() {
        return mCounters;
    }

    /**
     * Returns the port on which the link listens.
     *
     * @throws IllegalStateException if the link has not started
     */
    public int port() {
        Channel listener = mListener;
        if (listener == null) {
            throw new IllegalStateException("the peer link has not been started");
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
            throw new IllegalStateException("no handler is set for calls of other daemons");
        }
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, heapAllocator())
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(serverInitializer(handler));
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
        Future<?> unused =
                mEventLoops.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<Either<CallError, byte[]>> call(
            String address,
            int type,
            TrafficClass trafficClass,
            byte[] payload,
            long timeoutMillis) {
        PendingCall call = new PendingCall(mLastId.incrementAndGet(), type, trafficClass, payload);
        if (mStopped) {
            call.reject(CallError.Kind.UNREACHABLE, "the peer link is stopped");
            return call.result();
        }
        if (payload.length > ChunkAssembler.MAX_BODY_BYTES) {
            call.reject(
                    CallError.Kind.REFUSED, "the body exceeds the maximum size of the peer link");
            return call.result();
        }
        try {
            connectionTo(address).submit(call, timeoutMillis);
        } catch (IllegalArgumentException e) {
            call.reject(CallError.Kind.UNREACHABLE, "address is not ip:port: " + address);
        }
        return call.result();
    }

    private ClientConnection connectionTo(String address) {
        ClientConnection connection = mClientConnections.get(address);
        if (connection != null && !connection.isClosed()) {
            return connection;
        }
        InetSocketAddress target = PeerAddress.parse(address);
        mClientConnections.values().removeIf(ClientConnection::isClosed);
        ClientConnection created =
                mClientConnections.computeIfAbsent(
                        address, unused -> new ClientConnection(mEventLoops.next(), mLinkContext));
        if (created.tryStartConnecting()) {
            openConnection(created, address, target);
        }
        return created;
    }

    private void openConnection(
            ClientConnection connection, String address, InetSocketAddress target) {
        mLinkContext
                .regionSettings()
                .forEach(
                        settings ->
                                connection
                                        .loop()
                                        .execute(() -> connection.sendHello(settings, address)));
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(connection.loop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOCATOR, heapAllocator())
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .handler(initializer(() -> connection));
        ChannelFuture unused =
                bootstrap
                        .connect(target)
                        .addListener(
                                done -> {
                                    if (!done.isSuccess()) {
                                        connection.onConnectFailed(done.cause());
                                    }
                                });
    }

    private ChannelInitializer<Channel> serverInitializer(Handler handler) {
        return initializer(() -> new ServerConnection(handler, mLinkContext));
    }

    private ChannelInitializer<Channel> initializer(Supplier<PeerConnection> connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                mChannels.add(channel);
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        Frame.MAX_ENCODED_BYTES,
                                        0,
                                        LENGTH_FIELD_BYTES,
                                        0,
                                        LENGTH_FIELD_BYTES))
                        .addLast(new FrameDecoder(mCounters))
                        .addLast(new FrameEncoder(mCounters))
                        .addLast(connection.get());
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
