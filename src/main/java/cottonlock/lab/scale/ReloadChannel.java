package cottonlock.lab.scale;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * A file for each real proxy, read again by SIGHUP: nothing carries it to them, the run writes it
 * itself.
 */
final class ReloadChannel implements ConfigurationChannel {
    private final Map<Integer, RealHost> hosts;
    private long sentAt;

    ReloadChannel(Map<Integer, RealHost> hosts) {
        this.hosts = hosts;
    }

    @Override
    public String name() {
        return "reload";
    }

    @Override
    public void send(long number) throws IOException {
        sentAt = System.nanoTime();
        for (RealHost host : hosts.values()) {
            if (host.lives()) {
                host.reload(number);
            }
        }
    }

    long sentAt() {
        return sentAt;
    }

    @Override
    public Map<Integer, Long> inForceAt(long number) {
        Map<Integer, Long> times = new TreeMap<>();
        hosts.forEach((proxy, host) -> times.put(proxy, host.takenAt(number)));
        return times;
    }
}
