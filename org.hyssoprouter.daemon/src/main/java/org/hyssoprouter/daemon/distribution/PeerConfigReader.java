package org.hyssoprouter.daemon.distribution;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Asks other hosts for what has changed, and keeps the parts of their answers until a version is
 * applied. Used on the distributor's thread only.
 */
final class PeerConfigReader {
    /** Longer than a reader's call to the store, whose end it reports. */
    private static final long WAIT_MILLIS = 700;

    /** Time for an answer of another host: a part at 2 Mbit/s and the latency of two regions. */
    private static final long SLACK_MILLIS = 400;

    private static final long MAX_SLACK_MILLIS = 4_000;
    private static final int MAX_SLACK_DOUBLINGS = 4;

    private final PeerTransport mPeers;
    private final Map<ConfigSource, ReceivedParts> mParts = new HashMap<>();

    /** Open call to another host, and the version that was in force when it was sent. */
    record Question(ConfigSource source, long version, long sentMillis, ReceivedParts parts) {}

    PeerConfigReader(PeerTransport peers) {
        mPeers = peers;
    }

    /**
     * Returns the next question to a host.
     *
     * @param version version in force, 0 for none
     */
    Question question(ConfigSource source, long version, long nowMillis) {
        ReceivedParts parts = mParts.computeIfAbsent(source, key -> new ReceivedParts());
        return new Question(source, version, nowMillis, parts);
    }

    /**
     * Sends a question.
     *
     * @param whole whether the whole configuration is needed
     * @param failures number of failures of the host since its last answer
     */
    CompletableFuture<Either<CallError, byte[]>> ask(
            Question question, boolean whole, int failures) {
        // A host that has failed must answer at once.
        long waitMillis = failures > 0 ? 0 : WAIT_MILLIS;
        // A large answer may be under way on a link that is slower than planned.
        long slackMillis =
                Math.min(SLACK_MILLIS << Math.min(failures, MAX_SLACK_DOUBLINGS), MAX_SLACK_MILLIS);
        long version = whole ? 0 : question.version();
        return mPeers.call(
                        question.source().address(),
                        PeerCallType.CONFIG_CHANGES.number(),
                        TrafficClass.BULK,
                        MessageCodec.encode(question.parts().request(version, waitMillis)),
                        waitMillis + slackMillis)
                .exceptionally(
                        e ->
                                Either.left(
                                        CallError.mayHaveRun(
                                                CallError.Kind.BROKEN, String.valueOf(e))));
    }

    /** Forgets all parts, after a version was applied. */
    void clear() {
        mParts.clear();
    }
}
