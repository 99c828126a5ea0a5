package org.hyssoprouter.daemon.adapter;

import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.util.ByteArrayBuffer;
import org.jspecify.annotations.Nullable;

/** Reads a whole answer into memory. */
final class HttpReplyConsumer implements AsyncResponseConsumer<HttpReply> {
    private static final int INITIAL_BYTES = 512;

    private final ByteArrayBuffer mBody = new ByteArrayBuffer(INITIAL_BYTES);
    private volatile int mReceivedBytes;
    private @Nullable HttpResponse mResponse;
    private @Nullable FutureCallback<HttpReply> mCallback;

    @Override
    public void consumeResponse(
            HttpResponse response,
            @Nullable EntityDetails entity,
            HttpContext context,
            FutureCallback<HttpReply> callback) {
        mResponse = response;
        mCallback = callback;
        if (entity == null) {
            complete();
        }
    }

    @Override
    public void informationResponse(HttpResponse response, HttpContext context) {}

    @Override
    public void updateCapacity(CapacityChannel channel) throws java.io.IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) {
        mBody.append(source);
        mReceivedBytes = mBody.length();
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {
        complete();
    }

    @Override
    public void failed(Exception cause) {}

    @Override
    public void releaseResources() {}

    private void complete() {
        HttpResponse response = mResponse;
        FutureCallback<HttpReply> callback = mCallback;
        if (response == null || callback == null) {
            return;
        }
        callback.completed(
                new HttpReply(
                        response.getCode(),
                        header(response, "Hyssop-Refused"),
                        header(response, HttpHeaders.ETAG),
                        mBody.toByteArray()));
    }

    /** Returns the size of the body received so far, in bytes; called by any thread. */
    long receivedBytes() {
        return mReceivedBytes;
    }

    /** Returns whether the server closes the connection after this answer. */
    boolean endsConnection() {
        HttpResponse response = mResponse;
        return response != null
                && "close".equalsIgnoreCase(header(response, HttpHeaders.CONNECTION));
    }

    private static @Nullable String header(HttpResponse response, String name) {
        Header header = response.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }
}
