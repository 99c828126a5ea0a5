package org.hyssoprouter.daemon;

import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    @Test
    void sighupRunsTaskWithoutTerminatingTheProcess() throws ReflectiveOperationException {
        AtomicInteger runs = new AtomicInteger();
        // If the test process was started with SIGHUP ignored, the task must not run.
        int expected = ReloadSignal.onReload(runs::incrementAndGet) ? 1 : 0;
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Object sighup = signalType.getConstructor(String.class).newInstance("HUP");
        signalType.getMethod("raise", signalType).invoke(null, sighup);
        await().atMost(Duration.ofSeconds(20)).until(() -> runs.get() == expected);
    }
}
