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
 * What a run takes of the machine; one that would take too much is refused before anything starts.
 */
final class Bounds {
    /**
     * Megabytes beside its heap of a JVM of the lab's, and all of a process that serves, as
     * measured.
     */
    private static final double JVM_OVERHEAD_MB = 80;

    private static final double SERVE_PROCESS_MB = 75;

    /** Kilobytes of what a thread's stack and the kernel keep. */
    private static final double THREAD_STACK_KB = 40;

    /**
     * Kilobytes of one entry of a held list, and of a member in a view, by the objects that they
     * are.
     */
    private static final double LIST_ENTRY_KB = 0.35;

    private static final double VIEW_MEMBER_KB = 0.6;

    /** Kilobytes of a backend's actor in a process that serves. */
    private static final double BACKEND_ACTOR_KB = 3;

    /**
     * Megabytes of a heap for what is read and thrown away, and kilobytes more for each entry of a
     * list: some twenty whole lists at once.
     */
    private static final int SPARE_HEAP_MB = 64;

    private static final double LIST_PARSING_KB_PER_ENTRY = 40;

    /** Descriptors of a process of its own, and threads of the machine that are left to others. */
    private static final long BASE_DESCRIPTORS = 100;

    /** Ports below those that the kernel deals out; a run needs three in a row. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;
    static final int PORT_COUNT = 3;

    final int hosts;
    final int processes;
    final double memoryMb;

    /** What the lab's JVMs may take for their heaps. */
    final int hollowHeapMb;

    final int controlHeapMb;
    final int port;

    /** Throws, in one line, what the run would take too much of. */
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
                            + ": fewer real ones, or more hollow ones to a JVM (fleet.per_jvm)");
        }
        long memoryLimitMb = Math.min(file.memoryMb, machineMb() / 2);
        if (memoryMb > memoryLimitMb) {
            reject(
                    "needs some "
                            + Math.round(memoryMb)
                            + " MB, and may have "
                            + memoryLimitMb
                            + " (half of the machine's, or bounds.memory_mb): a smaller fleet.size"
                            + " or fleet.real");
        }
        long availableMb = availableMb();
        if (memoryMb > availableMb) {
            // Half of the machine's is the most; when others use it too, what they leave is less.
            reject(
                    "needs some "
                            + Math.round(memoryMb)
                            + " MB, and only "
                            + availableMb
                            + " are available now: a smaller fleet.size or fleet.real, or a machine"
                            + " with less to do");
        }
        long maxDescriptors = maxDescriptors();
        long needed =
                BASE_DESCRIPTORS
                        + Math.max(
                                2L * fleet.perJvm(),
                                2L * fleet.size() / file.control.machines() + fleet.size());
        if (needed > maxDescriptors) {
            reject(
                    "needs some "
                            + needed
                            + " file descriptors in one process, and it may have "
                            + maxDescriptors
                            + ": more control.machines, a smaller fleet.per_jvm, or a higher"
                            + " limit");
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
     * As the kernel reckons it, without pushing anybody out; without bound where it does not tell.
     */
    private static long availableMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
                if (line.startsWith("MemAvailable:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) >> 10;
                }
            }
        } catch (IOException e) {
            // Another system: half of the machine's is the bound.
        }
        return Long.MAX_VALUE;
    }

    private static long maxDescriptors() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof com.sun.management.UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount()
                : Long.MAX_VALUE;
    }

    /** The first of some ports that nobody has at any address of this machine. */
    private static int findFreePorts() throws InvalidConfigurationException {
        int span = (LAST_PORT - FIRST_PORT) / PORT_COUNT;
        // Two runs that begin together begin to look at different places.
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
                        + " free ports in a row, and there are none from "
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
