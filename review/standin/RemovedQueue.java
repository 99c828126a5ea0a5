import java.util.List;

/** An accepted job whose route is removed, and then all processes are started anew. */
final class RemovedQueue {
    private RemovedQueue() {}

    public static void main(String[] args) {
        Site.run(args[0], RemovedQueue::isBroken);
    }

    private static boolean isBroken(Site site) throws Exception {
        var plan = Site.route("plan", 1, 4);
        var book = Site.route("book", 2, 4);
        site.configure(List.of(plan, book));
        site.addExecutors(8);
        site.addDaemons(3);
        if (!site.awaitReady(40_000)) {
            throw new IllegalStateException("daemons are not ready");
        }
        // Two steps, the second one after the first.
        String id = Site.newId();
        var first = Site.step(4, 2_000, 3_000);
        var second = Site.step(4, 2_000, 1_000);
        second.put("After", List.of(0));
        if (!site.submitUntilAccepted("plan", id, "ms=6000", List.of(first, second), 10_000)) {
            throw new IllegalStateException("job is not accepted");
        }
        Site.pause(1_500);
        site.configure(List.of(book));
        if (Site.trouble()) {
            site.daemons().forEach(Site.Daemon::kill);
            Site.pause(1_000);
            for (Site.Daemon daemon : site.daemons()) {
                daemon.start();
            }
            if (!site.awaitReady(40_000)) {
                throw new IllegalStateException("daemons are not ready again");
            }
        }
        // Another job shows that the system works and the executors have room.
        String other = Site.newId();
        boolean accepted = site.submitUntilAccepted("book", other, "ms=500", List.of(Site.step(2, 1_000, 500)), 10_000);
        long end = site.recorder().millis() + 30_000;
        boolean done = false;
        while (site.recorder().millis() < end && !done) {
            done = site.runs().stream().filter(r -> r.mTask.startsWith(id) && r.mHow.equals("done")).map(r -> r.mTask).distinct().count() == 8;
            Site.pause(200);
        }
        String otherState = site.state(site.daemons().get(0), "book", other);
        site.state(site.daemons().get(0), "book", id);
        site.recorder().say("other job accepted " + accepted + ", state " + otherState + "; the job's tasks done: " + done);
        if (!otherState.equals("complete")) {
            throw new IllegalStateException("the other job was not run either");
        }
        return !done;
    }
}
