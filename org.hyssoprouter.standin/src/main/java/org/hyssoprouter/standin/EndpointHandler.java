package org.hyssoprouter.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.standin.StandinResponse.Delivery;

/**
 * Netty channel handler that passes the requests of one connection to a {@link StandinHandler} and
 * writes its responses.
 *
 * <p>Write failures are ignored: a caller that has disconnected needs no response.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOGGER = System.getLogger("org.hyssoprouter.standin");

    private final StandinHandler mHandler;
    private final Connection mConnection = new Connection();

    EndpointHandler(StandinHandler handler) {
        mHandler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        if (mConnection.isSilent()) {
            return;
        }
        StandinRequest request =
                new StandinRequest(
                        message.method().name(),
                        new QueryStringDecoder(message.uri()),
                        message.headers().copy(),
                        ByteBufUtil.getBytes(message.content()),
                        mConnection);
        handle(request)
                .exceptionally(e -> errorResponse(request, e))
                .thenAccept(response -> context.executor().execute(() -> write(context, response)));
    }

    private CompletableFuture<StandinResponse> handle(StandinRequest request) {
        try {
            return mHandler.handle(request);
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.completedFuture(errorResponse(request, e));
        }
    }

    private static StandinResponse errorResponse(StandinRequest request, Throwable error) {
        boolean isBadInput =
                error instanceof IOException || error instanceof IllegalArgumentException;
        if (!isBadInput) {
            LOGGER.log(Level.ERROR, "request " + request.route() + " failed", error);
        }
        return StandinResponse.text(isBadInput ? 400 : 500, String.valueOf(error));
    }

    private void write(ChannelHandlerContext context, StandinResponse response) {
        if (mConnection.isSilent()) {
            return;
        }
        if (response.delivery() == Delivery.DROPPED) {
            context.close();
            return;
        }
        int length = response.body().length;
        boolean isTruncated = response.delivery() == Delivery.TRUNCATED;
        ByteBuf content =
                Unpooled.wrappedBuffer(response.body(), 0, isTruncated ? length / 2 : length);
        FullHttpResponse httpResponse =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        content);
        httpResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
        response.headers().forEach((name, value) -> httpResponse.headers().set(name, value));
        var writeFuture = context.writeAndFlush(httpResponse);
        if (isTruncated) {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mHandler.onConnectionClosed(mConnection);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Test runs kill callers and close connections, so resets are expected.
        context.close();
    }
}
