package org.hyssoprouter.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client of the daemons' API. Servers are tried in order; the next one is tried only if
 * nothing was sent to the previous one.
 *
 * @since 0.1
 */
public final class ApiClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final MediaType JSON_TYPE = MediaType.get("application/json");
    private static final int FIRST_ERROR_STATUS = 400;

    private final OkHttpClient mHttp;
    private final List<String> mServers;
    private final String mToken;

    /**
     * Creates a client.
     *
     * @param servers {@code ip:port} of daemons, in the order in which they are tried
     * @param token operators' token
     * @param timeoutMillis timeout of one call, in milliseconds
     */
    public ApiClient(List<String> servers, String token, long timeoutMillis) {
        mServers = List.copyOf(servers);
        mToken = token;
        mHttp =
                new OkHttpClient.Builder()
                        .callTimeout(Duration.ofMillis(timeoutMillis))
                        .readTimeout(Duration.ofMillis(timeoutMillis))
                        .retryOnConnectionFailure(false)
                        .build();
    }

    /** Sends a GET request and returns its reply. */
    public Either<CliError, ApiReply> get(String path) {
        return send("GET", path, null);
    }

    /** Sends a request and returns its reply; {@code body} is null for a request without one. */
    public Either<CliError, ApiReply> send(String method, String path, @Nullable JsonNode body) {
        CliError last = CliError.of(ExitCode.USAGE, Messages.format("usage.server"), "hint.server");
        for (String server : mServers) {
            Either<CliError, ApiReply> result = sendTo(server, method, path, body);
            if (result.isRight() || result.getLeft().exitCode() != ExitCode.UNREACHABLE) {
                return result;
            }
            last = result.getLeft();
        }
        return Either.left(last);
    }

    /** Releases the client's connections and threads. */
    public void close() {
        mHttp.dispatcher().executorService().shutdown();
        mHttp.connectionPool().evictAll();
    }

    private Either<CliError, ApiReply> sendTo(
            String server, String method, String path, @Nullable JsonNode body) {
        Request request;
        try {
            request =
                    new Request.Builder()
                            .url("http://" + server + path)
                            .header("Authorization", "Bearer " + mToken)
                            .method(method, requestBody(method, body))
                            .build();
        } catch (IllegalArgumentException e) {
            String message = Messages.format("server.address", server);
            return Either.left(CliError.of(ExitCode.USAGE, message, "hint.server"));
        }
        try (Response response = mHttp.newCall(request).execute()) {
            return readReply(server, response);
        } catch (IOException e) {
            return Either.left(toError(server, e));
        }
    }

    private static @Nullable RequestBody requestBody(String method, @Nullable JsonNode body) {
        if (body != null) {
            return RequestBody.create(body.toString(), JSON_TYPE);
        }
        boolean needsBody = method.equals("POST") || method.equals("PUT");
        return needsBody ? RequestBody.create(new byte[0], JSON_TYPE) : null;
    }

    private static Either<CliError, ApiReply> readReply(String server, Response response)
            throws IOException {
        JsonNode body;
        byte[] bytes = response.body().bytes();
        try {
            body = JSON.readTree(bytes);
        } catch (JsonProcessingException e) {
            String message = Messages.format("server.malformed", server, response.code());
            return Either.left(CliError.of(ExitCode.UNKNOWN, message, "hint.lost"));
        }
        if (response.code() >= FIRST_ERROR_STATUS) {
            return Either.left(RefusalConverter.toError(body));
        }
        return Either.right(new ApiReply(response.code(), body));
    }

    private static CliError toError(String server, IOException e) {
        boolean notSent =
                e instanceof ConnectException
                        || e instanceof NoRouteToHostException
                        || (e instanceof SocketTimeoutException
                                && String.valueOf(e.getMessage()).contains("connect"));
        if (notSent) {
            String message = Messages.format("server.unreachable", server);
            return CliError.of(ExitCode.UNREACHABLE, message, "hint.unreachable");
        }
        String message = Messages.format("server.lost", server, e.getClass().getSimpleName());
        return CliError.of(ExitCode.UNKNOWN, message, "hint.lost");
    }
}
