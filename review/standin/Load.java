import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Clients that hand small jobs in at a steady rate, and repeat what got no certain answer. */
final class Load {
    private final Site mSite;
    private final Map<String, String> mAccepted = new ConcurrentHashMap<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    Load(Site site) {
        mSite = site;
    }

    Map<String, String> accepted() {
        return mAccepted;
    }

    /** Starts clients, each of which hands in a job and waits for a while. */
    void start(String queue, int clients, long pauseMillis, java.util.function.Supplier<String> spec,
            java.util.function.Supplier<List<Map<String, Object>>> steps) {
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(() -> run(queue, pauseMillis, spec, steps), "client");
            thread.setDaemon(true);
            mThreads.add(thread);
            thread.start();
        }
    }

    private void run(String queue, long pauseMillis, java.util.function.Supplier<String> spec,
            java.util.function.Supplier<List<Map<String, Object>>> steps) {
        Site.pause(ThreadLocalRandom.current().nextLong(pauseMillis));
        while (!mStopped) {
            String id = Site.newId();
            String text = spec.get();
            if (mSite.submitUntilAccepted(queue, id, text, steps.get(), 5_000)) {
                mAccepted.put(id, queue);
            }
            Site.pause(pauseMillis / 2 + ThreadLocalRandom.current().nextLong(pauseMillis));
        }
    }

    void stop() throws InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join(8_000);
        }
    }
}
