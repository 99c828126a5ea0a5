package org.hyssoprouter.daemon.workflow;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;

/** Names, keys and value encodings of the tables of workflows. */
final class Schema {
    /** Accepted workflows and cancellations, partitioned by the hash of the identifier. */
    static final String JOBS = "hyssop-jobs";

    /** State of each workflow, the owner's row and its load; one partition. */
    static final String STATES = "hyssop-states";

    /** Scheduling state that a new owner restores; in the partition of the states. */
    static final String RUNS = "hyssop-runs";

    /** Names and addresses of the daemons. */
    static final String MEMBERS = "hyssop-members";

    /** Partition of states and runs, so that one transaction covers both. */
    static final String POOLS_PARTITION = "pools";

    /** Key of the owner's row; sorts before all identifiers. */
    static final String OWNER_KEY = "!owner";

    /** Key of the row with the owner's load. */
    static final String LOAD_KEY = "!load";

    /**
     * Number of partitions of the jobs table. A partition takes 200 transactions per second, but
     * only three while the store is slow, when all daemons together write some forty.
     */
    private static final int JOB_PARTITION_COUNT = 32;

    /** First byte of the value that replaces the row of a finished workflow; no map begins so. */
    private static final byte FINISHED_MARK = 0;

    /** First byte of the value of a compressed workflow; no map begins so. */
    private static final byte COMPRESSED_MARK = 1;

    /** Size from which the row of a workflow is compressed. */
    private static final int MAX_PLAIN_JOB_BYTES = 16_384;

    /** Largest workflow that is read, more than a submission may have. */
    private static final int MAX_JOB_BYTES = 32 << 20;

    /** Separates the state from the workspace, which rows of an earlier release lack. */
    private static final char STATE_SEPARATOR = ' ';

    /** Separates the name of a part; identifiers of workflows are hexadecimal digits. */
    private static final char PART_SEPARATOR = '!';

    private static final String EARLY_CANCEL_INFIX = "!early!";
    private static final String CANCEL_SUFFIX = "!cancel";

    private Schema() {}

    static String jobPartition(String id) {
        return "j" + Math.floorMod(id.hashCode(), JOB_PARTITION_COUNT);
    }

    /**
     * Returns the partition for rows of a workflow while its own partition does not answer. Rows of
     * one workflow in both partitions are equivalent to one.
     */
    static String fallbackJobPartition(String id) {
        int hash = id.hashCode();
        int offset = 1 + Math.floorMod(hash / JOB_PARTITION_COUNT, JOB_PARTITION_COUNT - 1);
        return "j" + Math.floorMod(hash + offset, JOB_PARTITION_COUNT);
    }

    static List<String> jobPartitions() {
        List<String> partitions = new ArrayList<>();
        for (int i = 0; i < JOB_PARTITION_COUNT; i++) {
            partitions.add("j" + i);
        }
        return partitions;
    }

    /** Returns the key of a row with the load of some queues. */
    static String loadKey(int number) {
        return number == 0 ? LOAD_KEY : LOAD_KEY + PART_SEPARATOR + number;
    }

    static boolean isLoadKey(String key) {
        return key.startsWith(LOAD_KEY);
    }

    /** Returns the key of a part of a workflow's row in the table of runs. */
    static String partKey(String id, String part) {
        return id + PART_SEPARATOR + part;
    }

    static boolean isPartKey(String key) {
        return key.indexOf(PART_SEPARATOR) > 0;
    }

    static String workflowIdOfPartKey(String key) {
        return key.substring(0, key.indexOf(PART_SEPARATOR));
    }

    static String partOfKey(String key) {
        return key.substring(key.indexOf(PART_SEPARATOR) + 1);
    }

    static String cancelKey(String id) {
        return id + CANCEL_SUFFIX;
    }

    /**
     * Returns the value that replaces the row of a finished workflow. A repeated submission still
     * finds the row and its workspace.
     */
    static byte[] finishedRow(String workspace) {
        byte[] name = workspace.getBytes(StandardCharsets.UTF_8);
        byte[] value = new byte[1 + name.length];
        value[0] = FINISHED_MARK;
        System.arraycopy(name, 0, value, 1, name.length);
        return value;
    }

    static boolean isFinished(byte[] value) {
        return value.length > 0 && value[0] == FINISHED_MARK;
    }

    /**
     * Returns the workspace of a workflow from its row in the jobs table, or empty.
     *
     * @throws IOException if the row is neither a workflow nor the mark of a finished one
     */
    static String workspaceOfJob(byte[] value) throws IOException {
        return isFinished(value)
                ? new String(value, 1, value.length - 1, StandardCharsets.UTF_8)
                : decodeJob(value).workspace();
    }

    /** Returns the row of an accepted workflow in the jobs table. */
    static byte[] encodeJob(WorkflowSpec spec) {
        byte[] encoded = MessageCodec.encode(spec);
        return encoded.length <= MAX_PLAIN_JOB_BYTES ? encoded : compress(encoded);
    }

    /**
     * Returns the workflow of a row in the jobs table.
     *
     * @throws IOException if the row is no workflow
     */
    static WorkflowSpec decodeJob(byte[] value) throws IOException {
        boolean isCompressed = value.length > 0 && value[0] == COMPRESSED_MARK;
        return MessageCodec.decode(isCompressed ? decompress(value) : value, WorkflowSpec.class);
    }

    private static byte[] compress(byte[] encoded) {
        ByteArrayOutputStream row = new ByteArrayOutputStream();
        row.write(COMPRESSED_MARK);
        try (DeflaterOutputStream out = new DeflaterOutputStream(row)) {
            out.write(encoded);
        } catch (IOException e) {
            throw new IllegalStateException("cannot compress a row in memory", e);
        }
        return row.toByteArray();
    }

    private static byte[] decompress(byte[] value) throws IOException {
        try (InputStream in =
                new InflaterInputStream(new ByteArrayInputStream(value, 1, value.length - 1))) {
            byte[] encoded = in.readNBytes(MAX_JOB_BYTES + 1);
            if (encoded.length > MAX_JOB_BYTES) {
                throw new IOException("workflow has more than " + MAX_JOB_BYTES + " bytes");
            }
            return encoded;
        }
    }

    /**
     * Returns the key of the cancellation of a workflow that has no row. Each workspace has its
     * own, because only that of the workflow may cancel it.
     */
    static String earlyCancelKey(String id, String workspace) {
        return id + EARLY_CANCEL_INFIX + hashOf(workspace);
    }

    static boolean isEarlyCancelKey(String key) {
        return key.contains(EARLY_CANCEL_INFIX);
    }

    static String workflowIdOfEarlyCancelKey(String key) {
        return key.substring(0, key.indexOf(EARLY_CANCEL_INFIX));
    }

    /** Returns a text of bounded length; names of workspaces may be longer than a key. */
    private static String hashOf(String workspace) {
        if (workspace.isEmpty()) {
            return "";
        }
        try {
            byte[] name = workspace.getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(name));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    static boolean isCancelKey(String key) {
        return key.endsWith(CANCEL_SUFFIX);
    }

    static String workflowIdOfCancelKey(String key) {
        return key.substring(0, key.length() - CANCEL_SUFFIX.length());
    }

    static byte[] encodeState(WorkflowStatus status) {
        String state = status.state().name();
        String text =
                status.workspace().isEmpty() ? state : state + STATE_SEPARATOR + status.workspace();
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static WorkflowStatus decodeState(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        int separator = text.indexOf(STATE_SEPARATOR);
        return separator < 0
                ? new WorkflowStatus(WorkflowState.valueOf(text), "")
                : new WorkflowStatus(
                        WorkflowState.valueOf(text.substring(0, separator)),
                        text.substring(separator + 1));
    }
}
