package cottonlock.lab.scale;

import cottonlock.config.InvalidConfigurationException;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The resources that a scale run needs from the machine, by estimate. A run that needs more than it
 * may have is refused before any process starts.
 */
final class Bounds {
    /** Measured memory of a JVM of the lab beside its heap. */
    private static final double JVM_OVERHEAD_MB = 80;

    /** Measured memory of a whole {@code serve} process without its backend actors. */
    private static final double SERVE_PROCESS_MB = 75;

    /** Memory of a thread: its stack and what the kernel keeps for it. */
    private static final double THREAD_STACK_KB = 40;

    /** Memory of an entry of a proxy's endpoint list, by the sizes of its objects. */
    private static final double LIST_ENTRY_KB = 0.35;

    /** Memory of a member in a proxy's membership view, by the sizes of its objects. */
    private static final double VIEW_MEMBER_KB = 0.6;

    /** Memory of a backend's actor in a {@code serve} process. */
    private static final double BACKEND_ACTOR_KB = 3;

    /** Heap for short-lived objects. */
    private static final int SPARE_HEAP_MB = 64;

    /** Heap for parsing lists, per entry: enough for some twenty complete lists at once. */
    private static final double LIST_PARSING_KB_PER_ENTRY = 40;

    /** File descriptors of a process beside the connections and sockets for proxies. */
    private static final long BASE_DESCRIPTORS = 100;

    /** The ports searched lie below those that the kernel assigns by itself. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;

    /** The number of consecutive ports that a run needs. */
    static final int PORT_COUNT = 3;

    /** The number of processes that run hollow (simulated) proxies. */
    final int hosts;

    /** All processes of the run. */
    final int processes;

    /** The estimated memory of all processes. */
    final double memoryMb;

    /** Maximum heap of a process of hollow proxies. */
    final int hollowHeapMb;

    /** Maximum heap of a stand-in for a control machine. */
    final int controlHeapMb;

    /** The first of the run's ports. */
    final int port;

    /**
     * Estimates the run's needs.
     *
     * @throws InvalidConfigurationException if the run needs too much of a resource; its message
     *     names the resource in one line
     */
    Bounds(ScaleFile file) throws InvalidConfigurationException {
        ScaleFile.Fleet fleet = file.fleet;
        int hollowCount = fleet.size() - fleet.real();
        hosts = (hollowCount + fleet.perJvm() - 1) / fleet.perJvm();
        processes = hosts + fleet.real() + file.control.machines() + 2;
        double listMbPerProxy =
                fleet.size()
                        * (LIST_ENTRY_KB + (file.membership == null ? 0 : VIEW_MEMBER_KB))
                        / 1_024;
        hollowHeapMb =
                SPARE_HEAP_MB
                        + (int) (fleet.size() * LIST_PARSING_KB_PER_ENTRY / 1_024)
                        + (int) Math.ceil(Math.min(hollowCount, fleet.perJvm()) * listMbPerProxy);
        controlHeapMb = SPARE_HEAP_MB / 2 + fleet.size() / 64;
        memoryMb =
                hosts * (JVM_OVERHEAD_MB + hollowHeapMb)
                        + hollowCount * 2 * THREAD_STACK_KB / 1_024
                        + fleet.real()
                                * (SERVE_PROCESS_MB + fleet.size() * BACKEND_ACTOR_KB / 1_024)
                        + file.control.machines() * (JVM_OVERHEAD_MB + controlHeapMb)
                        + JVM_OVERHEAD_MB;
        if (processes > file.processes) {
            reject(
                    "needs "
                            + processes
                            + " processes, and may have "
                            + file.processes
                            + ": reduce fleet.real or raise fleet.per_jvm");
        }
        long memoryLimitMb = Math.min(file.memoryMb, machineMb() / 2);
        if (memoryMb > memoryLimitMb) {
            reject(
                    "needs about "
                            + Math.round(memoryMb)
                            + " MB, and may have "
                            + memoryLimitMb
                            + " (the lesser of bounds.memory_mb and half of the machine's memory):"
                            + " reduce fleet.size or fleet.real");
        }
        long availableMb = availableMb();
        if (memoryMb > availableMb) {
            // Other programs may leave less than half of the machine's memory free.
            reject(
                    "needs about "
                            + Math.round(memoryMb)
                            + " MB, and only "
                            + availableMb
                            + " MB are available now: reduce fleet.size or fleet.real, or stop"
                            + " other programs on the machine");
        }
        long maxDescriptors = maxDescriptors();
        long needed =
                BASE_DESCRIPTORS
                        + Math.max(
                                2L * fleet.perJvm(),
                                2L * fleet.size() / file.control.machines() + fleet.size());
        if (needed > maxDescriptors) {
            reject(
                    "needs about "
                            + needed
                            + " file descriptors in one process, and it may have "
                            + maxDescriptors
                            + ": raise control.machines, reduce fleet.per_jvm, or raise the"
                            + " process's descriptor limit");
        }
        port = findFreePorts();
    }

    private static void reject(String message) throws InvalidConfigurationException {
        throw new InvalidConfigurationException(List.of("this scale run " + message));
    }

    static long machineMb() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof com.sun.management.OperatingSystemMXBean system
                ? system.getTotalMemorySize() >> 20
                : Long.MAX_VALUE;
    }

    /**
     * The memory that the kernel estimates as available without swapping; {@link Long#MAX_VALUE} on
     * systems that don't report it.
     */
    private static long availableMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
                if (line.startsWith("MemAvailable:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) >> 10;
                }
            }
        } catch (IOException e) {
            // Not Linux: half of the machine's memory remains the only limit.
        }
        return Long.MAX_VALUE;
    }

    private static long maxDescriptors() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof com.sun.management.UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount()
                : Long.MAX_VALUE;
    }

    /** The first of {@link #PORT_COUNT} consecutive ports that are free at all local addresses. */
    private static int findFreePorts() throws InvalidConfigurationException {
        int span = (LAST_PORT - FIRST_PORT) / PORT_COUNT;
        // Runs that start at the same time begin their search at different ports.
        int offset = (int) (ProcessHandle.current().pid() % span);
        for (int i = 0; i < span; i++) {
            int port = FIRST_PORT + (offset + i) % span * PORT_COUNT;
            if (isPortFree(port) && isPortFree(port + 1) && isPortFree(port + 2)) {
                return port;
            }
        }
        reject(
                "needs "
                        + PORT_COUNT
                        + " consecutive free ports, and there are none from "
                        + FIRST_PORT
                        + " to "
                        + LAST_PORT);
        return 0;
    }

    private static boolean isPortFree(int port) {
        try (ServerSocket tcp = new ServerSocket();
                DatagramSocket udp = new DatagramSocket(null)) {
            tcp.setReuseAddress(false);
            tcp.bind(new InetSocketAddress(port));
            udp.bind(new InetSocketAddress(port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
