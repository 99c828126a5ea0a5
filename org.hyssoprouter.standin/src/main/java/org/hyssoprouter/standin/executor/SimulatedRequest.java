package org.hyssoprouter.standin.executor;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Work that the body of a request tells the executor to simulate. */
record SimulatedRequest(String key, long workMillis, int sizeBytes) {
    /**
     * Parses a body with a key on the first line and {@code work=MILLIS size=BYTES} on the second.
     * Absent values are 0.
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

    /** Returns the key, a newline and {@code sizeBytes} filler bytes. */
    byte[] responseBody() {
        byte[] head = (key + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] response = Arrays.copyOf(head, head.length + sizeBytes);
        Arrays.fill(response, head.length, response.length, (byte) 'x');
        return response;
    }
}
