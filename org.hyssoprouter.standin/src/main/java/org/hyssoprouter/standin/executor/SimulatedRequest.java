package org.hyssoprouter.standin.executor;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** What a request's body asks of the executor. */
record SimulatedRequest(String key, long workMillis, int sizeBytes) {
    /**
     * Parses a key on the first line and {@code work=MILLIS size=BYTES} on the second; what is left
     * out counts as 0.
     *
     * @throws IllegalArgumentException if a number is malformed
     */
    static SimulatedRequest parse(byte[] body) {
        String[] lines = new String(body, StandardCharsets.UTF_8).split("\n", 3);
        long workMillis = 0;
        int sizeBytes = 0;
        String words = lines.length > 1 ? lines[1] : "";
        for (String word : words.split("\\s+")) {
            if (word.startsWith("work=")) {
                workMillis = Long.parseLong(word.substring("work=".length()));
            } else if (word.startsWith("size=")) {
                sizeBytes = Integer.parseInt(word.substring("size=".length()));
            }
        }
        return new SimulatedRequest(lines[0], workMillis, sizeBytes);
    }

    /** Returns the key, a newline and the bytes asked for. */
    byte[] responseBody() {
        byte[] head = (key + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] answer = Arrays.copyOf(head, head.length + sizeBytes);
        Arrays.fill(answer, head.length, answer.length, (byte) 'x');
        return answer;
    }
}
