package org.hyssoprouter.daemon.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.util.MessageCodec;

/** Answers other hosts that ask what has changed; used on the distributor's thread only. */
final class ConfigResponder {
    /** Shortest time after which an answer without changes is sent. */
    private static final long MIN_HELD_MILLIS = 250;

    /** Size of a part; the changes of a large configuration come in several answers. */
    private static final int PART_BYTES = 64 * 1024;

    private static final int MAX_WAITING_REQUESTS = 1_000;
    private static final byte[] NO_CHANGES = new byte[0];

    private final ConfigDistributor.Ports mPorts;
    private final Supplier<Position> mPosition;
    private final ConfigHistory mHistory = new ConfigHistory();
    private final List<WaitingRequest> mWaiting = new ArrayList<>();

    /**
     * What this host knows of the store.
     *
     * @param storeVersion version of the store up to which it has read changes
     * @param ageMillis time since it knew its version to be the newest, in milliseconds
     */
    record Position(long storeVersion, long ageMillis) {}

    /** Request of another host that is answered later. */
    private record WaitingRequest(
            ConfigRequest request, long receivedMillis, CompletableFuture<byte[]> reply) {
        long version() {
            return request.version();
        }
    }

    ConfigResponder(ConfigDistributor.Ports ports, Supplier<Position> position) {
        mPorts = ports;
        mPosition = position;
    }

    /** Sets the version in force. */
    void add(PoolConfig config) {
        mHistory.add(config);
    }

    /** Answers a request, at once or when there is something new. */
    void handle(ConfigRequest request, CompletableFuture<byte[]> reply) {
        WaitingRequest waiting = new WaitingRequest(request, mPorts.clock().millis(), reply);
        boolean mayWait =
                request.version() == mHistory.currentVersion()
                        && request.waitMillis() > 0
                        && mPosition.get().ageMillis() <= ConfigDistributor.MAX_SOURCE_AGE_MILLIS
                        && mWaiting.size() < MAX_WAITING_REQUESTS;
        if (!mayWait) {
            answer(waiting);
            return;
        }
        mWaiting.add(waiting);
        mPorts.thread()
                .schedule(
                        () -> {
                            if (mWaiting.remove(waiting)) {
                                answer(waiting);
                            }
                        },
                        request.waitMillis());
    }

    /** Answers the hosts that wait, after this host has confirmed its version. */
    void answerWaiting() {
        long nowMillis = mPorts.clock().millis();
        long version = mHistory.currentVersion();
        List<WaitingRequest> due =
                mWaiting.stream()
                        .filter(
                                it ->
                                        it.version() != version
                                                || nowMillis - it.receivedMillis()
                                                        >= MIN_HELD_MILLIS)
                        .toList();
        mWaiting.removeAll(due);
        due.forEach(this::answer);
    }

    private void answer(WaitingRequest waiting) {
        long version = mHistory.currentVersion();
        ConfigRequest request = waiting.request();
        byte[] changes =
                version > request.version() ? mHistory.changesSince(request.version()) : NO_CHANGES;
        boolean continues = request.target() == version && request.offset() < changes.length;
        int offset = continues ? Math.max(0, request.offset()) : 0;
        byte[] part =
                Arrays.copyOfRange(changes, offset, Math.min(offset + PART_BYTES, changes.length));
        mPorts.meters().recordConfigBytes("served", part.length);
        long heldMillis = mPorts.clock().millis() - waiting.receivedMillis();
        Position position = mPosition.get();
        ConfigReply reply =
                new ConfigReply(
                        version,
                        position.storeVersion(),
                        position.ageMillis(),
                        heldMillis,
                        changes.length,
                        offset,
                        part);
        waiting.reply().complete(MessageCodec.encode(reply));
    }
}
