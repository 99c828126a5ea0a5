package org.hyssoprouter.standin.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that the bench started, to be killed, frozen and thawed by its id.
 *
 * @since 0.1
 */
public final class ChildProcess implements AutoCloseable {
    private static final int SIGNAL_TIMEOUT_SECONDS = 5;

    private final String mName;
    private final Process mProcess;
    private final Path mLogFile;

    private ChildProcess(String name, Process process, Path log) {
        mName = name;
        mProcess = process;
        mLogFile = log;
    }

    /**
     * Starts a main class on the bench's own class path.
     *
     * @param name name for messages and for the log file
     * @param folder folder of the log file
     * @param flags flags of the virtual machine
     * @param mainClass main class
     * @param args its arguments
     * @throws IOException if the process cannot be started
     */
    public static ChildProcess startJava(
            String name, Path folder, List<String> flags, String mainClass, List<String> args)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(flags);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(args);
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(new File("/dev/null"));
        return new ChildProcess(name, builder.start(), log);
    }

    /** Returns the name. */
    public String name() {
        return mName;
    }

    /** Returns the id of the process. */
    public long id() {
        return mProcess.pid();
    }

    /** Returns the file with what the process printed. */
    public Path logFile() {
        return mLogFile;
    }

    /** Returns whether the process has not ended. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Kills the process and waits until it is gone. */
    public void kill() {
        mProcess.destroyForcibly();
        waitForExit(SIGNAL_TIMEOUT_SECONDS);
    }

    /** Asks the process to stop (SIGTERM). */
    public void terminate() {
        mProcess.destroy();
    }

    /** Stops the process from running until it is thawed (SIGSTOP). */
    public void suspend() {
        sendSignal("-STOP");
    }

    /** Lets a frozen process run on (SIGCONT). */
    public void resume() {
        sendSignal("-CONT");
    }

    /** Tells the process that its settings have changed (SIGHUP). */
    public void sendHangup() {
        sendSignal("-HUP");
    }

    /** Waits for the end; returns whether it came in time. */
    public boolean waitForExit(int seconds) {
        try {
            return mProcess.waitFor(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the exit code of a process that has ended. */
    public int exitCode() {
        return mProcess.exitValue();
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            kill();
        }
    }

    private void sendSignal(String signal) {
        try {
            Process kill = new ProcessBuilder("kill", signal, Long.toString(id())).start();
            kill.waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new IllegalStateException("cannot signal " + mName, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
