package cottonlock.lab;

import static java.nio.charset.StandardCharsets.UTF_8;

import cottonlock.proxy.Proxy;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

/**
 * Runs one proxy, either inside the lab's process or in its own process, started as in {@code
 * deploy/balancer.toml}. The proxy keeps its address across restarts. The methods may block, so
 * they must not run on the loop's thread.
 */
final class Host {
    /** Milliseconds within which a started process must serve. */
    private static final long START_TIMEOUT_MILLIS = 20_000;

    /** Milliseconds after SIGTERM within which a process must exit; then it is killed. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 4_000;

    private final String name;
    private final boolean ownProcess;
    private final java.nio.file.Path folder;
    private final LongFunction<String> configuration;
    private final Socket addressSocket;
    private final InetSocketAddress address;

    /**
     * Reserved ports of the management interface, which alternate with each process hand-over; null
     * without an operator's file.
     */
    private final Socket[] managementSockets;

    private volatile int managementIndex;

    /** Content of the operator's file; null for none. */
    private final String operatorFileText;

    private final java.nio.file.Path hangFile;
    private Proxy proxy;
    private Process process;

    /** Clock error in milliseconds with which the next process starts. */
    private volatile long clockOffsetMillis;

    /**
     * Reserves the proxy's ports.
     *
     * @param configuration returns the configuration as JSON for the number of a start, from 0
     * @param operatorFileText content of the operator's file; null for none
     */
    Host(
            String name,
            boolean ownProcess,
            java.nio.file.Path folder,
            LongFunction<String> configuration,
            String operatorFileText)
            throws IOException {
        this.name = name;
        this.ownProcess = ownProcess;
        this.folder = folder;
        this.configuration = configuration;
        this.addressSocket = reservePort();
        this.address =
                new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), addressSocket.getLocalPort());
        this.operatorFileText = operatorFileText;
        this.managementSockets =
                operatorFileText == null ? null : new Socket[] {reservePort(), reservePort()};
        this.hangFile = folder.resolve(name + ".hang");
    }

    /**
     * Reserves a port for this proxy during the whole run, across its restarts. The socket is bound
     * but does not listen: the proxy's listener reuses addresses and so can still bind the port,
     * and the system assigns it to no other socket.
     */
    private static Socket reservePort() throws IOException {
        Socket socket = new Socket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the current address of the management interface. */
    InetSocketAddress managementAddress() {
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(),
                managementSockets[managementIndex].getLocalPort());
    }

    String name() {
        return name;
    }

    synchronized void start(long number) throws IOException, InterruptedException {
        java.nio.file.Path file = folder.resolve(name + ".json");
        Files.writeString(file, configuration.apply(number));
        if (!ownProcess) {
            proxy = new Proxy(file);
            return;
        }
        Files.deleteIfExists(hangFile);
        process = launch();
        awaitReady(process, this::healthy);
    }

    /** Waits until a started process is ready; throws if it exits or takes too long. */
    private void awaitReady(Process started, BooleanSupplier ready)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (!ready.getAsBoolean()) {
            if (!started.isAlive() || System.nanoTime() > until) {
                throw new IOException(
                        name
                                + " did not start: "
                                + Files.readString(folder.resolve(name + ".log")).strip());
            }
            Thread.sleep(10);
        }
    }

    private Process launch() throws IOException {
        java.nio.file.Path file = folder.resolve(name + ".json");
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment().remove("COTTONLOCK_OPERATOR");
        if (operatorFileText != null) {
            java.nio.file.Path operatorFile = folder.resolve(name + ".toml");
            Files.writeString(operatorFile, operatorFileText);
            builder.environment().put("COTTONLOCK_OPERATOR", operatorFile.toString());
            builder.environment()
                    .put(
                            "TMPDIR",
                            Files.createDirectories(folder.resolve(name + ".tmp")).toString());
        }
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        return builder.start();
    }

    /**
     * Starts a new process that takes over while the old one still serves, and terminates the old
     * one when the new one is ready.
     */
    void replace(long number) throws IOException, InterruptedException {
        Process old;
        synchronized (this) {
            old = process;
            managementIndex = 1 - managementIndex;
            Files.writeString(folder.resolve(name + ".json"), configuration.apply(number));
            process = launch();
            awaitReady(
                    process, () -> "ACK\n".equals(MembersWatch.ask(managementAddress(), "HEALTH")));
        }
        old.destroy();
        if (!old.waitFor(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            old.destroyForcibly();
        }
    }

    private List<String> command() throws IOException {
        return ServeCommand.of(
                operatorFileText != null,
                operatorFileText == null
                        ? List.of()
                        : List.of(
                                "-Dcottonlock.test.clock_ms=" + clockOffsetMillis,
                                "-Dcottonlock.test.hang=" + hangFile));
    }

    private boolean healthy() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 500);
            socket.setSoTimeout(500);
            String ask = "GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
            socket.getOutputStream()
                    .write(ask.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readNBytes(12), UTF_8).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends the proxy immediately, as SIGKILL does. */
    synchronized void kill() throws InterruptedException {
        if (proxy != null) {
            proxy.close();
            proxy = null;
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
            process = null;
        }
    }

    /** Shuts the proxy down gracefully, as SIGTERM does, and waits until it has ended. */
    void term() throws InterruptedException {
        Proxy draining;
        Process leaving;
        synchronized (this) {
            draining = proxy;
            leaving = process;
            proxy = null;
            process = null;
        }
        if (draining != null) {
            draining.drain();
            draining.close();
        }
        if (leaving != null) {
            leaving.destroy();
            if (!leaving.waitFor(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                leaving.destroyForcibly();
            }
        }
    }

    /**
     * Sends the signals of a series to the process, and kills it if it has not exited in time.
     *
     * @param killAfterMillis time from the first SIGTERM to SIGKILL
     * @param beforeTerm called just before the first SIGTERM is sent
     */
    void endBySignals(SignalSeries series, long killAfterMillis, Runnable beforeTerm)
            throws IOException, InterruptedException {
        Process leaving;
        synchronized (this) {
            leaving = process;
        }
        long startedAt = System.nanoTime();
        long killAt = 0;
        for (SignalSeries.Step step : series.steps()) {
            sleepUntil(startedAt + TimeUnit.MILLISECONDS.toNanos(step.afterMillis()));
            if (killAt == 0 && step.isTerm()) {
                beforeTerm.run();
                killAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(killAfterMillis);
            }
            if (leaving.isAlive()) {
                signal(step.name(), leaving);
            }
        }
        if (!leaving.waitFor(killAt - System.nanoTime(), TimeUnit.NANOSECONDS)) {
            leaving.destroyForcibly().waitFor();
        }
        synchronized (this) {
            process = null;
        }
    }

    private static void sleepUntil(long nanoTime) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanoTime - System.nanoTime()));
    }

    private static void signal(String name, Process to) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(to.pid())).start().waitFor();
    }

    /** Suspends or resumes the process by signals; its handlers see neither SIGSTOP nor SIGCONT. */
    synchronized void setStopped(boolean stopped) throws IOException, InterruptedException {
        if (process != null) {
            new ProcessBuilder("kill", stopped ? "-STOP" : "-CONT", Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Blocks the thread of the process's load balancer, or lets it continue. */
    void setHung(boolean hung) throws IOException {
        if (hung) {
            Files.writeString(hangFile, "");
        } else {
            Files.deleteIfExists(hangFile);
        }
    }

    /** Sets the clock error with which the process runs from its next start. */
    void setClockOffset(long offsetMillis) {
        clockOffsetMillis = offsetMillis;
    }

    /** Writes a new configuration and has the proxy reload it, as SIGHUP does. */
    synchronized void reload(long number) throws IOException {
        Files.writeString(folder.resolve(name + ".json"), configuration.apply(number));
        if (proxy != null) {
            proxy.reload();
        }
        if (process != null) {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
        }
    }

    /** Kills the proxy and releases its ports at the end of a run. */
    synchronized void close() {
        if (process != null) {
            process.destroyForcibly();
        }
        if (proxy != null) {
            proxy.close();
        }
        try {
            addressSocket.close();
            if (managementSockets != null) {
                managementSockets[0].close();
                managementSockets[1].close();
            }
        } catch (IOException e) {
            // The socket is closed even if this fails.
        }
    }
}
