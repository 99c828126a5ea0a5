package org.hyssoprouter.standin.worker;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.StartOrder;

/** Run time, result and resource usage that a task's command tells the worker to simulate. */
record TaskCommand(long runMillis, boolean fails, Room usage) {
    /**
     * Parses the words {@code run=MILLIS}, {@code fail=1}, {@code cpu=N} and {@code mem=N} of the
     * command. Other words are ignored; absent ones default to the values of the order.
     *
     * @throws IllegalArgumentException if a number is malformed
     */
    static TaskCommand parse(StartOrder order) {
        long runMillis = order.runTimeMillis();
        boolean fails = false;
        long cpuMillis = order.room().cpuMillis();
        long memoryBytes = order.room().memoryBytes();
        for (String word : order.command().split("\\s+")) {
            int equals = word.indexOf('=');
            String name = equals < 0 ? word : word.substring(0, equals);
            String value = word.substring(equals + 1);
            switch (name) {
                case "run" -> runMillis = Long.parseLong(value);
                case "fail" -> fails = value.equals("1");
                case "cpu" -> cpuMillis = Long.parseLong(value);
                case "mem" -> memoryBytes = Long.parseLong(value);
                default -> {}
            }
        }
        Room usage = new Room(cpuMillis, memoryBytes, order.room().accelerators());
        return new TaskCommand(runMillis, fails, usage);
    }
}
