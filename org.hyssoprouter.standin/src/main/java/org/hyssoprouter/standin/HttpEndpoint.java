package org.hyssoprouter.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import java.net.InetSocketAddress;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * HTTP/1.1 server of one stand-in.
 *
 * <p>Uses Netty's HTTP codec directly because stand-ins close connections without a response, count
 * connections and leave requests unanswered, which web frameworks do not expose.
 *
 * @since 0.1
 */
public final class HttpEndpoint implements Service {
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final EventLoopGroup mEventLoops;
    private final InetSocketAddress mAddress;
    private final StandinHandler mHandler;
    private @Nullable Channel mListener;

    /**
     * Creates an endpoint.
     *
     * @param group event loops, shared between endpoints and owned by the caller
     * @param address {@code ip:port} to listen on
     * @param handler handler of the requests
     */
    public HttpEndpoint(EventLoopGroup group, String address, StandinHandler handler) {
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        mEventLoops = group;
        mAddress = new InetSocketAddress(address.substring(0, colon), port);
        mHandler = handler;
    }

    @Override
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.group(mEventLoops);
        bootstrap.channel(NioServerSocketChannel.class);
        bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
        bootstrap.childHandler(
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpServerKeepAliveHandler(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new EndpointHandler(mHandler));
                    }
                });
        mListener = bootstrap.bind(mAddress).syncUninterruptibly().channel();
    }

    @Override
    public void stop() {
        Channel listener = mListener;
        if (listener == null) {
            return;
        }
        listener.close().syncUninterruptibly();
        mListener = null;
    }

    /** Returns the port that the endpoint listens on. The endpoint must be started. */
    public int port() {
        Channel listener = mListener;
        if (listener == null) {
            throw new IllegalStateException("endpoint " + mAddress + " is not started");
        }
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }
}
