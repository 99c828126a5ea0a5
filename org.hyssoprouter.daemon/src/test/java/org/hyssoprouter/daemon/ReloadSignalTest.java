package org.hyssoprouter.daemon;

import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    @Test
    void hangUpCallsTheTaskAndLeavesTheProcessAlone() throws ReflectiveOperationException {
        AtomicInteger calls = new AtomicInteger();
        ReloadSignal.onReload(calls::incrementAndGet);
        Class<?> signal = Class.forName("sun.misc.Signal");
        Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
        signal.getMethod("raise", signal).invoke(null, hangUp);
        await().atMost(Duration.ofSeconds(20)).until(() -> calls.get() == 1);
    }
}
