package org.hyssoprouter.standin.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Child process of a test or benchmark, which can be killed, suspended and resumed.
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
     * Starts a main class with the class path of the current process.
     *
     * @param name name of the process in messages and of its log file
     * @param folder directory of the log file
     * @param flags flags of the Java virtual machine
     * @param mainClass main class
     * @param args arguments of the main class
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

    /** Returns the name of the process. */
    public String name() {
        return mName;
    }

    /** Returns the operating system's process id. */
    public long id() {
        return mProcess.pid();
    }

    /** Returns the file that receives the standard output and error of the process. */
    public Path logFile() {
        return mLogFile;
    }

    /** Returns whether the process is running or suspended. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Kills the process (SIGKILL) and waits for its exit. */
    public void kill() {
        mProcess.destroyForcibly();
        waitForExit(SIGNAL_TIMEOUT_SECONDS);
    }

    /** Requests termination of the process (SIGTERM). */
    public void terminate() {
        mProcess.destroy();
    }

    /** Suspends the process until it is resumed (SIGSTOP). */
    public void suspend() {
        sendSignal("-STOP");
    }

    /** Resumes a suspended process (SIGCONT). */
    public void resume() {
        sendSignal("-CONT");
    }

    /** Notifies the process that its settings have changed (SIGHUP). */
    public void sendHangup() {
        sendSignal("-HUP");
    }

    /** Waits for the exit of the process; returns false after a timeout or an interrupt. */
    public boolean waitForExit(int seconds) {
        try {
            return mProcess.waitFor(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the exit code of a process that has exited. */
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
            throw new IllegalStateException("cannot send " + signal + " to process " + mName, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
