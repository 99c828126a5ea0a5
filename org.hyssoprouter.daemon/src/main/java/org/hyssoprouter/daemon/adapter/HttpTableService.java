package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;

/**
 * Accesses the platform's table service over HTTP, see docs/PORTS.md.
 *
 * @since 0.1
 */
public final class HttpTableService implements TableService {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpCaller mCaller;
    private final String mAddress;
    private final long mTimeoutMillis;

    /**
     * Creates the adapter.
     *
     * @param address {@code ip:port} of the platform
     * @param timeoutMillis timeout of each call
     */
    public HttpTableService(HttpCaller caller, String address, long timeoutMillis) {
        mCaller = caller;
        mAddress = address;
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public Either<TableError, List<Row>> read(Collection<String> keys) {
        return rows(JsonHttp.post(mAddress, "/table/read", new Keys(List.copyOf(keys))));
    }

    @Override
    public Either<TableError, List<Row>> scan(String prefix) {
        return rows(JsonHttp.post(mAddress, "/table/scan", new Prefix(prefix)));
    }

    @Override
    public Either<TableError, Long> commit(Transaction transaction) {
        HttpRequest request = JsonHttp.post(mAddress, "/table/commit", transaction);
        Either<CallError, HttpReply> result = mCaller.callAndWait(request, mTimeoutMillis);
        if (result.isLeft()) {
            CallError error = result.getLeft();
            return Either.left(
                    error.verdict() == Verdict.NOT_RUN
                            ? TableError.unavailable(error.message())
                            : TableError.unknown(error.message()));
        }
        return handleCommitReply(result.get());
    }

    private static Either<TableError, Long> handleCommitReply(HttpReply reply) {
        try {
            return switch (reply.status()) {
                case HttpReply.OK -> Either.right(decode(reply, Committed.class).version());
                case HttpReply.CONFLICT ->
                        Either.left(TableError.conflict(decode(reply, Conflict.class).key()));
                case SERVICE_UNAVAILABLE ->
                        Either.left(
                                TableError.unavailable("table service answered with status 503"));
                default ->
                        Either.left(
                                TableError.unknown(
                                        "table service answered with status " + reply.status()));
            };
        } catch (IOException e) {
            return Either.left(
                    TableError.unknown("invalid answer of the table service: " + e.getMessage()));
        }
    }

    private Either<TableError, List<Row>> rows(HttpRequest request) {
        Either<CallError, HttpReply> result = mCaller.callAndWait(request, mTimeoutMillis);
        if (result.isLeft()) {
            return Either.left(TableError.unavailable(result.getLeft().message()));
        }
        HttpReply reply = result.get();
        if (reply.status() != HttpReply.OK) {
            return Either.left(
                    TableError.unavailable("table service answered with status " + reply.status()));
        }
        try {
            return Either.right(decode(reply, Rows.class).rows());
        } catch (IOException e) {
            return Either.left(
                    TableError.unavailable(
                            "invalid answer of the table service: " + e.getMessage()));
        }
    }

    private static <T> T decode(HttpReply reply, Class<T> type) throws IOException {
        return MessageCodec.json().readValue(reply.body(), type);
    }

    private record Keys(List<String> keys) {}

    private record Prefix(String prefix) {}

    private record Rows(List<Row> rows) {}

    private record Committed(long version) {}

    private record Conflict(String key) {}
}
