import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The owner's process is killed when the store holds the rows of the jobs that a small site has
 * finished in some hours. The rows of those jobs are copies, under other ids, of the rows that the
 * daemons have left of the jobs that they ran at the beginning of the script.
 */
final class FullStore {
    /** Jobs a second on the sheet of the small site of Lefain: 1.01 + 3.04 + 21.6. */
    private static final double JOBS_A_SECOND = 25.65;

    private static final int HISTORY_SECONDS = 9_000;
    private static final int JOB_PARTITIONS = 32;

    private FullStore() {}

    public static void main(String[] args) {
        Site.run(args[0], FullStore::isBroken);
    }

    private static List<Map<String, Object>> steps() {
        return List.of(Site.step(ThreadLocalRandom.current().nextInt(1, 4), 5_600, 1_000));
    }

    private static boolean isBroken(Site site) throws Exception {
        site.configure(List.of(Site.route("remind", 0, 4)));
        site.addExecutors(33);
        site.addDaemons(8);
        if (!site.awaitReady(40_000)) {
            throw new IllegalStateException("daemons are not ready");
        }
        List<String> first = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            String id = Site.newId();
            if (!site.submitUntilAccepted("remind", id, "ms=300", steps(), 5_000)) {
                throw new IllegalStateException("job is not accepted");
            }
            first.add(id);
        }
        long end = site.recorder().millis() + 15_000;
        while (first.stream().anyMatch(id -> !hasRowsOfFinished(site, id))) {
            if (site.recorder().millis() > end) {
                throw new IllegalStateException("first jobs are not finished");
            }
            Site.pause(100);
        }
        int jobs = addHistory(site, first);
        site.recorder().say("the store holds the rows of " + jobs + " finished jobs, those of " + HISTORY_SECONDS + " s");
        Site.pause(5_000);
        String before = runJob(site, 10_000);
        site.recorder().say("a job before the disruption: " + before);
        if (!before.equals("complete")) {
            throw new IllegalStateException("the job before the disruption is " + before);
        }
        if (Site.trouble()) {
            Site.Daemon owner = site.owner();
            owner.kill();
            Site.pause(1_000);
            owner.start();
        } else {
            Site.pause(1_000);
        }
        long since = site.recorder().millis();
        String after = runJob(site, 45_000);
        site.recorder().say("a job after it: " + after + " after " + (site.recorder().millis() - since) + " ms; daemons alive: "
                + site.daemons().stream().filter(Site.Daemon::isAlive).count());
        return !after.equals("complete");
    }

    private static boolean hasRowsOfFinished(Site site, String id) {
        return site.store().json("hyssop-states", "pools", id).startsWith("COMPLETE")
                && site.store().json("hyssop-jobs", partition(id), id).startsWith("\0");
    }

    private static String partition(String id) {
        return "j" + Math.floorMod(id.hashCode(), JOB_PARTITIONS);
    }

    private static int addHistory(Site site, List<String> templates) {
        int jobs = (int) (HISTORY_SECONDS * JOBS_A_SECOND);
        for (int i = 0; i < jobs; i++) {
            String template = templates.get(i % templates.size());
            String id = Site.newId();
            site.store().putRaw("hyssop-jobs", partition(id), id, site.store().raw("hyssop-jobs", partition(template), template));
            site.store().putRaw("hyssop-runs", "pools", id, site.store().raw("hyssop-runs", "pools", template));
            site.store().putRaw("hyssop-states", "pools", id, site.store().raw("hyssop-states", "pools", template));
            if (i % 1_000 == 0) {
                Site.pause(10);
            }
        }
        return jobs;
    }

    /** Hands a job in and waits for its end. Returns its last state, or why there is none. */
    private static String runJob(Site site, long limitMillis) {
        String id = Site.newId();
        long end = site.recorder().millis() + limitMillis;
        if (!site.submitUntilAccepted("remind", id, "ms=300", steps(), limitMillis)) {
            return "not accepted";
        }
        String state = "";
        while (site.recorder().millis() < end) {
            state = site.state(site.daemons().get(ThreadLocalRandom.current().nextInt(site.daemons().size())), "remind", id);
            if (state.equals("complete")) {
                return state;
            }
            Site.pause(500);
        }
        return state;
    }
}
