package org.hyssoprouter.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerLinkTest {
    private static final int TYPE = 1;
    private static final long LONG_MILLIS = 20_000;

    private final PeerLink mServer = new PeerLink("127.0.0.1:0", MonotonicClock.system());
    private final PeerLink mClient = new PeerLink("127.0.0.1:0", MonotonicClock.system());

    @AfterEach
    void stop() {
        mClient.stop();
        mServer.stop();
    }

    @Test
    void answersSmallAndLargeBodies() throws Exception {
        serve((type, trafficClass, payload) -> CompletableFuture.completedFuture(payload));
        byte[] large = new byte[3_000_001];
        large[large.length - 1] = 7;
        assertArrayEquals(large, get(call(large)).get());
        assertArrayEquals(new byte[] {1}, get(call(new byte[] {1})).get());
        assertArrayEquals(new byte[0], get(call(new byte[0])).get());
    }

    @Test
    void unreachablePeerIsNotRun() throws Exception {
        var result = mClient.call("127.0.0.1:1", TYPE, TrafficClass.NORMAL, new byte[1], 5000);
        CallError error = get(result).getLeft();
        assertEquals(Verdict.NOT_RUN, error.verdict());
        assertEquals(CallError.Kind.UNREACHABLE, error.kind());
    }

    private void serve(PeerTransport.Handler handler) {
        mServer.setHandler(handler);
        mServer.start();
    }

    private CompletableFuture<Either<CallError, byte[]>> call(byte[] body) {
        String address = "127.0.0.1:" + mServer.port();
        return mClient.call(address, TYPE, TrafficClass.NORMAL, body, LONG_MILLIS);
    }

    private static Either<CallError, byte[]> get(
            CompletableFuture<Either<CallError, byte[]>> result) throws Exception {
        return result.get(LONG_MILLIS, TimeUnit.MILLISECONDS);
    }
}
