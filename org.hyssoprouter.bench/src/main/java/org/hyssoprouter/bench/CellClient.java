package org.hyssoprouter.bench;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;

/**
 * Blocking HTTP client for caller and operator calls to daemons and for control of stand-ins.
 *
 * @since 0.1
 */
public final class CellClient implements AutoCloseable {
    /** Operator token of every cell. */
    public static final String OPERATOR_TOKEN = "bench-operator-token";

    private static final MediaType JSON = MediaType.get("application/json");
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final long GET_TIMEOUT_SECONDS = 3;
    private static final long RESPONSE_MARGIN_MILLIS = 2_000;

    private final OkHttpClient mClient =
            new OkHttpClient.Builder()
                    .retryOnConnectionFailure(false)
                    .connectTimeout(Duration.ofSeconds(2))
                    .readTimeout(Duration.ofSeconds(60))
                    .callTimeout(Duration.ofSeconds(60))
                    .connectionPool(new ConnectionPool(256, 30, TimeUnit.SECONDS))
                    .build();

    /** Sends a request once, without retries, and waits for its answer. */
    public CallerAnswer send(DaemonProcess entry, CallerRequest request) {
        Request.Builder call =
                builder(entry.httpAddress(), "/v1/requests/" + CellPlan.SERVICE)
                        .header("Hyssop-Customer", request.customer())
                        .header("Hyssop-Class", lowerCase(request.trafficClass()))
                        .header("Hyssop-Timeout-Millis", Long.toString(request.timeoutMillis()))
                        .header("Hyssop-Idempotent", Boolean.toString(request.idempotent()))
                        .post(RequestBody.create(request.body(), BYTES));
        String key = request.idempotencyKey();
        if (key != null) {
            call.header("Idempotency-Key", key);
        }
        OkHttpClient client =
                mClient.newBuilder()
                        .callTimeout(
                                Duration.ofMillis(request.timeoutMillis() + RESPONSE_MARGIN_MILLIS))
                        .build();
        long sentWallMillis = System.currentTimeMillis();
        long startNanos = System.nanoTime();
        int status = 0;
        String verdict = null;
        byte[] body;
        try (Response response = client.newCall(call.build()).execute()) {
            body = response.body().bytes();
            status = response.code();
            verdict = response.header("Hyssop-Verdict");
        } catch (IOException e) {
            body = e.toString().getBytes(StandardCharsets.UTF_8);
        }
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        Verdict parsed = verdict == null ? null : Verdict.valueOf(verdict);
        return new CallerAnswer(
                request, entry.name(), status, parsed, body, sentWallMillis, elapsedMillis);
    }

    /** Submits a job. */
    public Reply submit(DaemonProcess entry, JobSpec spec) {
        return call(entry.httpAddress(), "POST", "/v1/jobs", json(spec));
    }

    /** Calls the API of a daemon with the operator token. */
    public Reply callAsOperator(
            DaemonProcess entry, String method, String path, @Nullable Object body) {
        return call(entry.httpAddress(), method, path, body == null ? null : json(body));
    }

    /** Returns whether a GET request for {@code path} returns status 200. */
    public boolean isOk(String address, String path) {
        return call(address, "GET", path, null).status() == 200;
    }

    /**
     * Sets the faults that a stand-in injects.
     *
     * @param address {@code ip:port} of the stand-in
     * @param json fault settings, with apostrophes in place of quotation marks
     * @throws IllegalStateException if the stand-in does not accept the settings
     */
    public void injectFaults(String address, String json) {
        post(address, "/faults", json.replace('\'', '"'));
    }

    /**
     * Sends a POST request to a stand-in.
     *
     * @throws IllegalStateException if the status is not 204
     */
    public void post(String address, String path, String body) {
        Reply reply = call(address, "POST", path, body.getBytes(StandardCharsets.UTF_8));
        if (reply.status() != 204) {
            throw new IllegalStateException(
                    "POST " + path + " at " + address + " failed: " + reply);
        }
    }

    /**
     * Reads a record from a stand-in.
     *
     * @throws IllegalStateException if the response is not such a record
     */
    public <T> T getRecord(String address, String path, Class<T> type) {
        Reply reply = call(address, "GET", path, null);
        try {
            return MessageCodec.json().readValue(reply.body(), type);
        } catch (IOException e) {
            throw new IllegalStateException(
                    "GET " + path + " at " + address + " returned an unexpected body: " + reply, e);
        }
    }

    @Override
    public void close() {
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private Reply call(String address, String method, String path, byte @Nullable [] body) {
        RequestBody content = body == null ? null : RequestBody.create(body, JSON);
        if (content == null && !method.equals("GET")) {
            content = RequestBody.create(new byte[0], JSON);
        }
        Request request =
                builder(address, path)
                        .header("Authorization", "Bearer " + OPERATOR_TOKEN)
                        .method(method, content)
                        .build();
        Call pending = mClient.newCall(request);
        if (method.equals("GET")) {
            // A frozen daemon accepts connections but never responds.
            pending.timeout().timeout(GET_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        try (Response response = pending.execute()) {
            return new Reply(response.code(), response.body().bytes());
        } catch (IOException e) {
            return new Reply(0, e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static Request.Builder builder(String address, String path) {
        return new Request.Builder().url("http://" + address + path);
    }

    private static byte[] json(Object value) {
        try {
            return MessageCodec.json().writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot encode " + value, e);
        }
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Response to an operator call.
     *
     * @param status HTTP status, or 0 if no response arrived
     * @param body content
     */
    public record Reply(int status, byte[] body) {
        /** Returns the content as JSON, or a missing node if it is not JSON. */
        public JsonNode json() {
            try {
                return MessageCodec.json().readTree(body);
            } catch (IOException e) {
                return MissingNode.getInstance();
            }
        }

        /**
         * Returns the content as a record and ignores unknown fields.
         *
         * @throws IllegalStateException if the content is not of that type
         */
        public <T> T readAs(Class<T> type) {
            try {
                return MessageCodec.json()
                        .readerFor(type)
                        .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .readValue(body);
            } catch (IOException e) {
                throw new IllegalStateException(
                        "response is not a " + type.getSimpleName() + ": " + this, e);
            }
        }

        /** Returns a one-line description. */
        @Override
        public String toString() {
            return status + " " + new String(body, StandardCharsets.UTF_8);
        }
    }
}
