package cottonlock.lab.scale;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * A file for each real proxy, read again by SIGHUP: nothing carries it to them, the run writes it
 * itself.
 */
final class ReloadChannel implements ConfigurationChannel {
    private final Map<Integer, RealProxy> proxies;
    private long sentAt;

    ReloadChannel(Map<Integer, RealProxy> proxies) {
        this.proxies = proxies;
    }

    @Override
    public String name() {
        return "reload";
    }

    @Override
    public void send(long number) throws IOException {
        sentAt = System.nanoTime();
        for (RealProxy host : proxies.values()) {
            if (host.isAlive()) {
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
        proxies.forEach((proxy, host) -> times.put(proxy, host.reloadedAt(number)));
        return times;
    }
}
