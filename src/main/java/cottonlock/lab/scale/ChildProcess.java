package cottonlock.lab.scale;

import cottonlock.lab.ServeCommand;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A child process of the run that reads orders from its standard input and writes answers and
 * reports to its standard output, one per line. It exits at the end of its input, so none is left
 * when the run itself is killed.
 */
final class ChildProcess {
    /** Time limit for an answer, long enough for a machine with no core to spare. */
    private static final long ANSWER_TIMEOUT_SECONDS = 60;

    final String name;
    private final Process process;
    private final Writer orders;
    private final Path log;
    private final LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private volatile boolean ended;

    /**
     * Starts the process. Lines that begin with one of {@code reportPrefixes} go to {@code
     * reportListener}, on the reader thread; all other lines are answers.
     */
    ChildProcess(
            String name,
            Path folder,
            int heapMb,
            Class<?> mainClass,
            List<String> args,
            List<String> reportPrefixes,
            Consumer<String[]> reportListener)
            throws IOException {
        this.name = name;
        this.log = folder.resolve(name + ".log");
        List<String> command =
                new ArrayList<>(
                        List.of(
                                ServeCommand.java(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData",
                                "-Xss192k",
                                "-Xmx" + heapMb + "m",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-cp",
                                System.getProperty("java.class.path"),
                                mainClass.getName()));
        command.addAll(args);
        process =
                new ProcessBuilder(command)
                        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        orders = process.outputWriter(StandardCharsets.ISO_8859_1);
        Thread reader =
                new Thread(
                        null,
                        () -> {
                            try (BufferedReader lines =
                                    process.inputReader(StandardCharsets.ISO_8859_1)) {
                                for (String line = lines.readLine();
                                        line != null;
                                        line = lines.readLine()) {
                                    String[] words = line.split(" ");
                                    if (reportPrefixes.contains(words[0])) {
                                        reportListener.accept(words);
                                    } else {
                                        answers.add(line);
                                    }
                                }
                            } catch (IOException e) {
                                // The process has ended.
                            }
                            answers.add("");
                        },
                        name,
                        256 << 10);
        reader.setDaemon(true);
        reader.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void send(String order) throws IOException {
        try {
            synchronized (orders) {
                orders.write(order);
                orders.write('\n');
            }
        } catch (IOException e) {
            throw processError();
        }
    }

    void flush() throws IOException {
        try {
            synchronized (orders) {
                orders.flush();
            }
        } catch (IOException e) {
            throw processError();
        }
    }

    /**
     * Returns the next answer without its line end; throws if none arrives in time or the process
     * has ended.
     */
    String readAnswer() throws IOException, InterruptedException {
        String answer = answers.poll(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (answer == null || answer.isEmpty()) {
            throw processError();
        }
        return answer;
    }

    private IOException processError() {
        String logText = "";
        try {
            logText = Files.size(log) < 1 << 16 ? Files.readString(log).strip() : "see its log";
        } catch (IOException e) {
            // There is no log.
        }
        return new IOException(
                name + (isAlive() ? " does not answer" : " has ended") + ": " + logText);
    }

    /** Kills the process (SIGKILL) and waits for its end. */
    void kill() throws InterruptedException {
        ended = true;
        process.destroyForcibly().waitFor();
    }

    /** Returns whether the process ended although the run did not end it. */
    boolean endedUnexpectedly() {
        return !ended && !process.isAlive();
    }

    /** Kills the process without waiting, at the end of a run. */
    void destroy() {
        ended = true;
        process.destroyForcibly();
    }
}
