import java.util.ArrayList;
import java.util.List;

/** The owner's process is killed while more than 500 runs end on one executor. */
final class ManyEnds {
    private static final int JOBS = 20;
    private static final int TASKS = 60;

    private ManyEnds() {}

    public static void main(String[] args) {
        Site.run(args[0], ManyEnds::isBroken);
    }

    private static boolean isBroken(Site site) throws Exception {
        site.configure(List.of(Site.route("remind", 0, 4)));
        site.addExecutors(33);
        site.addDaemons(3);
        if (!site.awaitReady(40_000)) {
            throw new IllegalStateException("daemons are not ready");
        }
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = Site.newId();
            if (!site.submitUntilAccepted("remind", id, "ms=4000", List.of(Site.step(TASKS, 100, 4_000)), 5_000)) {
                throw new IllegalStateException("job is not accepted");
            }
            jobs.add(id);
        }
        long end = site.recorder().millis() + 10_000;
        while (site.runs().size() < JOBS * TASKS && site.recorder().millis() < end) {
            Site.pause(20);
        }
        int started = site.runs().size();
        int most = site.executors().stream().mapToInt(Executor::runningCount).max().orElse(0);
        site.recorder().say(started + " tasks started; at most " + most + " on one executor");
        if (started < JOBS * TASKS) {
            throw new IllegalStateException("not all tasks were started");
        }
        long firstEnd = site.runs().get(0).mStartedAt + 4_000;
        Site.pause(Math.max(0, firstEnd - 100 - site.recorder().millis()));
        if (Site.trouble()) {
            Site.Daemon owner = site.owner();
            owner.kill();
            Site.pause(1_000);
            owner.start();
        }
        end = site.recorder().millis() + 30_000;
        long complete = 0;
        while (complete < JOBS && site.recorder().millis() < end) {
            complete = jobs.stream().filter(id -> site.state(site.daemons().get(0), "remind", id).equals("complete")).count();
            Site.pause(500);
        }
        Site.pause(6_000);
        List<String> found = site.startsAfterDone();
        found.stream().limit(20).forEach(site.recorder()::say);
        site.recorder().say(complete + " of " + JOBS + " jobs complete, " + found.size() + " starts after an end that is done and taken note of");
        return !found.isEmpty();
    }
}
