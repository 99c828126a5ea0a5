package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Client of the cell. Each call goes to a daemon whose process runs, chosen at random. */
final class Client {
    private static final Duration DEADLINE = Duration.ofMillis(3_000);
    private static final int NO_ANSWER = 0;
    private static final int MAX_ATTEMPTS = 10;
    private static final long RETRY_MILLIS = 500;

    private final Cell mCell;
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(1_000))
                    .build();

    Client(Cell cell) {
        mCell = cell;
    }

    boolean isReady(Cell.Daemon daemon) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + daemon.mReadiness + "/hyssoprouter/readyz"))
                        .timeout(Duration.ofMillis(1_000))
                        .build();
        return daemon.isAlive() && send(request).status() == 200;
    }

    private Reply send(HttpRequest request) {
        try {
            HttpResponse<byte[]> response =
                    mHttp.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Reply(response.statusCode(), Json.parseAnswer(response.body()));
        } catch (IOException e) {
            return new Reply(NO_ANSWER, Json.object());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(NO_ANSWER, Json.object());
        }
    }

    private Cell.Daemon anyDaemon() {
        List<Cell.Daemon> live = mCell.mDaemons.stream().filter(Cell.Daemon::isAlive).toList();
        List<Cell.Daemon> daemons = live.isEmpty() ? mCell.mDaemons : live;
        return daemons.get(ThreadLocalRandom.current().nextInt(daemons.size()));
    }

    private Reply call(Cell.Daemon daemon, String method, String path, byte[] body) {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(body);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + daemon.mFront + path))
                        .method(method, publisher)
                        .header("Host", Cell.HOST)
                        .header("Content-Type", "application/json")
                        .header("Deadline-Ms", Long.toString(DEADLINE.toMillis()))
                        .timeout(DEADLINE)
                        .build();
        return send(request);
    }

    /** Hands a job in that must be accepted. */
    void submit(String queue, String id, ObjectNode job) {
        if (!trySubmit(queue, id, job, MAX_ATTEMPTS)) {
            throw new IllegalStateException("job " + id + " was not accepted");
        }
    }

    /** Hands a job in, again after no answer and after a refusal. Returns whether it is accepted. */
    boolean trySubmit(String queue, String id, ObjectNode job, int attempts) {
        byte[] body = Json.encode(job);
        for (int i = 0; i < attempts; i++) {
            Cell.Daemon daemon = anyDaemon();
            Reply reply = call(daemon, "POST", "/" + queue + "/" + id, body);
            mCell.mRecord.add(
                    "POST %s/%s at %s -> %s", queue, id, daemon.mName, text(reply.status()));
            if (reply.status() / 100 == 2) {
                return true;
            }
            Sleep.millis(RETRY_MILLIS);
        }
        return false;
    }

    private static String text(int status) {
        return status == NO_ANSWER ? "no answer" : Integer.toString(status);
    }

    /** Asks any daemon for the state of a job; returns it, or the status if there is none. */
    String state(String queue, String id) {
        Reply reply = call(anyDaemon(), "GET", "/" + queue + "/" + id, null);
        String state = reply.body().path("State").asText("");
        return reply.status() == 200 && !state.isEmpty() ? state : text(reply.status());
    }

    /** Returns a job of steps that need nothing of each other. */
    static ObjectNode job(int steps, int count, long cpu, long estimateMillis) {
        ObjectNode job = Json.object().put("Spec", "(text)");
        for (int i = 0; i < steps; i++) {
            ObjectNode step =
                    job.withArray("Phases").addObject().put("Count", count).put("Cpu", cpu);
            if (estimateMillis > 0) {
                step.put("EstimateMs", estimateMillis);
            }
        }
        return job;
    }
}
