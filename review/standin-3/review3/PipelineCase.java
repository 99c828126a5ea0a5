package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A client asks for an id that nobody has submitted and for a job that is complete, on one
 * connection to each daemon. It sends the second call before the first one is answered.
 */
final class PipelineCase implements Main.Case {
    private static final int EXECUTORS = 12;
    private static final long TASK_MILLIS = 500;
    private static final long TASK_CPU = 500;
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LENGTH_HEADER = "content-length:";
    private static final String QUEUE = "lohu930";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String ABSENT = "00000000000000ff";

    @Override
    public boolean run(Cell cell, boolean trouble) throws Exception {
        cell.start(EXECUTORS, Tasks.of(TASK_MILLIS, TASK_CPU), Cell.config(QUEUE));
        Client client = new Client(cell);
        client.submit(QUEUE, JOB, Client.job(1, 1, TASK_CPU, TASK_MILLIS));
        Sleep.millis(3_000);
        cell.mRecord.add("GET %s -> %s", JOB, client.state(QUEUE, JOB));
        boolean held = true;
        for (Cell.Daemon daemon : cell.mDaemons) {
            int colon = daemon.mFront.indexOf(':');
            int port = Integer.parseInt(daemon.mFront.substring(colon + 1));
            try (Socket socket = new Socket(daemon.mFront.substring(0, colon), port)) {
                socket.setSoTimeout(TIMEOUT_MILLIS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                out.write(trouble ? concat(get(ABSENT), get(JOB)) : get(ABSENT));
                String first = read(in);
                if (!trouble) {
                    out.write(get(JOB));
                }
                String second = read(in);
                cell.mRecord.add(
                        "%s: GET %s -> %s; GET %s -> %s",
                        daemon.mName, ABSENT, first, JOB, second);
                held &= first.startsWith("410") && second.contains("complete");
            }
        }
        return held;
    }

    private static byte[] get(String id) {
        String request = "GET /%s/%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d" + END_OF_HEAD;
        return request.formatted(QUEUE, id, Cell.HOST, TIMEOUT_MILLIS)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] both = new byte[first.length + second.length];
        System.arraycopy(first, 0, both, 0, first.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    /** Returns the status and the body of the next answer. */
    private static String read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            int next = in.read();
            if (next < 0) {
                return "end of the connection";
            }
            head.append((char) next);
        }
        int length = 0;
        for (String line : head.toString().toLowerCase(Locale.ROOT).split("\r\n")) {
            if (line.startsWith(LENGTH_HEADER)) {
                length = Integer.parseInt(line.substring(LENGTH_HEADER.length()).trim());
            }
        }
        String status = head.toString().split(" ")[1];
        return status + " " + new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
