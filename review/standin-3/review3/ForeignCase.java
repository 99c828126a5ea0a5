package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A task runs on an executor. Another writer leaves an entry under the executor's id, of a service
 * that isn't named anywhere. The executor writes its own entry again with its next heartbeat.
 */
final class ForeignCase implements Main.Case {
    private static final int EXECUTORS = 12;
    private static final long TASK_CPU = 4_000;
    private static final long TASK_MILLIS = 15_000;
    private static final double LIMIT_SECONDS = 60;
    private static final String QUEUE = "lohu930";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String TASK = JOB + ".0.0.0";

    @Override
    public boolean run(Cell cell, boolean trouble) throws Exception {
        cell.start(EXECUTORS, Tasks.of(TASK_MILLIS, TASK_CPU), Cell.config(QUEUE));
        Client client = new Client(cell);
        client.submit(QUEUE, JOB, Client.job(1, 1, TASK_CPU, TASK_MILLIS));
        Sleep.millis(3_000);
        Executor runner = cell.runnerOf(TASK).orElseThrow();
        if (trouble) {
            ObjectNode entry = runner.entry().put("Service", "not-named-anywhere").put("born", 1);
            cell.mStore.put("servers", runner.mId, entry.toString());
            cell.mRecord.add("another writer writes servers/%s: %s", runner.mId, entry);
        }
        String state = "";
        while (!state.equals("complete") && cell.mRecord.seconds() < LIMIT_SECONDS) {
            Sleep.millis(500);
            state = client.state(QUEUE, JOB);
        }
        cell.mRecord.add(
                "GET %s/%s -> %s; %d starts, %d ends done, %d starts while another run was active",
                QUEUE,
                JOB,
                state,
                cell.mRuns.startsOf(JOB),
                cell.mRuns.endsOf(JOB, "done"),
                cell.mRuns.doubles().size());
        cell.mRecord.add("logs: " + cell.countInLogs("what=\"worker restarted\""));
        return cell.mRuns.doubles().isEmpty();
    }
}
