package org.hyssoprouter.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.LoadDigest;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerStatus;
import org.hyssoprouter.util.MessageCodec;

/** Measures the encoded size of the periodic control messages and the bytes for each element. */
final class SlopesCase implements MeasureCase {
    private static final int[] SIZES = {1, 10, 100};
    private static final Room ROOM = new Room(16_000, 32L << 30, 1);

    @Override
    public String name() {
        return "slopes";
    }

    @Override
    public String description() {
        return "size of the periodic control messages by the number of their elements";
    }

    @Override
    public boolean run(MeasureOptions options, PrintStream out) throws Exception {
        out.printf("%-28s %8s %8s %8s %12s%n", "message by", "1", "10", "100", "bytes for each");
        printJsonSizes(out, "lease answer by tasks", SlopesCase::workerStatus);
        printJsonSizes(out, "lease renewal by ended tasks", SlopesCase::leaseRenewal);
        printJsonSizes(out, "host list by hosts", SlopesCase::hostList);
        printEncodedSizes(out, "load answer by services", SlopesCase::loadDigest);
        printEncodedSizes(out, "cell rows by shards", SlopesCase::shardRows);
        return true;
    }

    private static void printJsonSizes(PrintStream out, String name, IntFunction<Object> message)
            throws JsonProcessingException {
        List<Integer> bytes = new ArrayList<>();
        for (int size : SIZES) {
            bytes.add(MessageCodec.json().writeValueAsBytes(message.apply(size)).length);
        }
        print(out, name, bytes);
    }

    private static void printEncodedSizes(
            PrintStream out, String name, IntFunction<Object> message) {
        List<Integer> bytes = new ArrayList<>();
        for (int size : SIZES) {
            bytes.add(MessageCodec.encode(message.apply(size)).length);
        }
        print(out, name, bytes);
    }

    private static void print(PrintStream out, String name, List<Integer> bytes) {
        double slope = (bytes.get(2) - bytes.get(1)) / (double) (SIZES[2] - SIZES[1]);
        out.printf(
                "%-28s %8d %8d %8d %12.1f%n",
                name, bytes.get(0), bytes.get(1), bytes.get(2), slope);
        out.printf(
                Locale.ROOT,
                "{\"case\":\"slopes\",\"message\":\"%s\",\"bytes\":%s,\"slope\":%.1f}%n",
                name,
                bytes,
                slope);
    }

    private static Object workerStatus(int tasks) {
        List<TaskReport> reports = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            TaskId task = new TaskId("season-allocation-17", i);
            reports.add(new TaskReport(task, 1, TaskReport.State.RUNNING, ROOM, ""));
        }
        return new WorkerStatus("worker-south-a-17", 1_234_567_890L, reports);
    }

    private static Object leaseRenewal(int ended) {
        List<LeaseRenewal.AttemptId> attempts = new ArrayList<>();
        for (int i = 0; i < ended; i++) {
            attempts.add(new LeaseRenewal.AttemptId(new TaskId("season-allocation-17", i), 1));
        }
        return new LeaseRenewal("south-a", 17, 10_000, 1_234_567_890L, attempts);
    }

    private static Object hostList(int count) {
        List<HostInfo> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ExecutorInfo executor =
                    new ExecutorInfo("executor-" + i, "booking", "10.0.0.17:9000", 8, 64);
            hosts.add(
                    new HostInfo(
                            "worker-south-a-" + i,
                            "south",
                            "south-a",
                            "rack-3",
                            "10.0.0.17:8000",
                            HostState.LIVE,
                            ROOM,
                            List.of(executor)));
        }
        return hosts;
    }

    private static Object loadDigest(int services) {
        List<LoadDigest.ServiceLoad> loads = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            loads.add(new LoadDigest.ServiceLoad("booking-" + i, 240, 120, 3));
        }
        return new LoadDigest("south-a", 17, 123_456, loads, ROOM, ROOM);
    }

    private static Object shardRows(int shards) {
        List<ShardRow> rows = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            rows.add(
                    new ShardRow(
                            "south-" + i,
                            "south",
                            "entry-" + i,
                            "5f3c2c1e-8f5e-4b6a-9f63-2d8f8d6a1c11",
                            "10.0.0.17:7000",
                            17,
                            "snapshot-south-a-17-1234",
                            1234));
        }
        return rows;
    }
}
