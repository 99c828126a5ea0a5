package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Runs a case: {@code Main NAME ROOT FOLDER}. Exits with 10 if the rule held, with 11 if it was
 * broken, and with 12 if the case could not run; the Java launcher uses none of these. {@code
 * TROUBLE=0} leaves the disruption out, {@code KEEP_LOGS=1} keeps the logs of the daemons.
 */
public final class Main {
    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;
    private static final long LIMIT_MILLIS = 115_000;

    private Main() {}

    /** A case; returns whether the rule held. */
    interface Case {
        boolean run(Cell cell, boolean trouble) throws Exception;
    }

    private static final Map<String, Case> CASES =
            Map.of(
                    "steps", OddJobsCase.manySteps(),
                    "schedule", OddJobsCase.lateSchedule(),
                    "gangs", OddJobsCase.hugeGangs(),
                    "foreign", new ForeignCase(),
                    "pipeline", new PipelineCase());

    /** Runs the case. */
    public static void main(String[] args) throws Exception {
        Case test = CASES.get(args[0]);
        Path root = Path.of(args[1]).toAbsolutePath();
        Path folder = Path.of(args[2]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review-3-");
        int result = NOT_RUN;
        String keep = System.getenv("KEEP_LOGS");
        try (Record record = new Record(folder.resolve("record.txt"));
                Cell cell = new Cell(root, temporary, record)) {
            record.add("case %s, %s disruption", args[0], trouble ? "with" : "without");
            Thread shutdown = new Thread(cell::close);
            Runtime.getRuntime().addShutdownHook(shutdown);
            Thread limit =
                    new Thread(
                            () -> {
                                Sleep.millis(LIMIT_MILLIS);
                                System.exit(NOT_RUN);
                            });
            limit.setDaemon(true);
            limit.start();
            try {
                boolean held = test.run(cell, trouble);
                result = held ? HELD : BROKEN;
                record.add(held ? "the rule held" : "THE RULE WAS BROKEN");
            } catch (Exception e) {
                record.add("the case could not run: " + e);
                e.printStackTrace();
            }
            cell.close();
            Runtime.getRuntime().removeShutdownHook(shutdown);
        } finally {
            if (keep == null) {
                delete(temporary);
            } else {
                System.err.println("logs: " + temporary);
            }
        }
        String outcome = result == HELD ? "held" : result == BROKEN ? "broken" : "not run";
        System.out.println(args[0] + ": " + outcome);
        Runtime.getRuntime().halt(result);
    }

    private static void delete(Path folder) throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
