package cottonlock.lab.scale;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes the configuration file of each real proxy and makes it reload the file by SIGHUP. No
 * transport is involved: the run writes the files itself.
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
