package cottonlock.lab.scale;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;

/**
 * The placement and addresses of the proxies and control machines of a run. Each region has a
 * contiguous range of zones; proxies are assigned to zones round-robin. A proxy's address contains
 * its zone.
 */
@Deterministic
final class Topology {
    /** The second byte of the addresses of control machines; all of 127/8 is loopback. */
    private static final int CONTROL_SECOND_BYTE = 9;

    /** The second byte of the addresses of proxies in the first zone. */
    private static final int FIRST_ZONE_SECOND_BYTE = 10;

    private final ScaleFile.Fleet fleet;
    private final int controlMachines;
    private final List<Integer> real = new ArrayList<>();
    private final boolean[] isReal;

    Topology(ScaleFile.Fleet fleet, int controlMachines) {
        this.fleet = fleet;
        this.controlMachines = controlMachines;
        this.isReal = new boolean[fleet.size()];
        // Real proxies share one region, as traffic between two of them can't be counted or cut.
        for (int i = 0; i < fleet.size() && real.size() < fleet.real(); i++) {
            if (region(zone(i)) == 0) {
                real.add(i);
                isReal[i] = true;
            }
        }
    }

    int zone(int proxy) {
        return proxy % fleet.zones();
    }

    int region(int zone) {
        return zone * fleet.regions() / fleet.zones();
    }

    /** The rack's number over all zones. */
    int rack(int proxy) {
        return zone(proxy) * fleet.racks() + proxy / fleet.zones() % fleet.racks();
    }

    /** The proxies that are real {@code serve} processes. */
    List<Integer> real() {
        return real;
    }

    boolean isReal(int proxy) {
        return isReal[proxy];
    }

    /** Control machines are assigned to regions round-robin, and within a region to its zones. */
    int controlZone(int machine) {
        List<Integer> zones = new ArrayList<>();
        for (int z = 0; z < fleet.zones(); z++) {
            if (region(z) == machine % fleet.regions()) {
                zones.add(z);
            }
        }
        return zones.get(machine / fleet.regions() % zones.size());
    }

    int controlRegion(int machine) {
        return region(controlZone(machine));
    }

    /** The control machine that a proxy asks: one of its zone, else of its region, else any. */
    int control(int proxy) {
        List<Integer> nearMachines = new ArrayList<>();
        for (int m = 0; m < controlMachines; m++) {
            if (controlZone(m) == zone(proxy)) {
                nearMachines.add(m);
            }
        }
        for (int m = 0; nearMachines.isEmpty() && m < controlMachines; m++) {
            if (region(controlZone(m)) == region(zone(proxy))) {
                nearMachines.add(m);
            }
        }
        return nearMachines.isEmpty()
                ? proxy % controlMachines
                : nearMachines.get(proxy / fleet.zones() % nearMachines.size());
    }

    String ip(int proxy) {
        return "127."
                + (FIRST_ZONE_SECOND_BYTE + zone(proxy))
                + "."
                + (proxy >> 8)
                + "."
                + (proxy & 0xff);
    }

    /** The zone of a proxy's address by its second byte; -1 for other addresses. */
    static int zoneOf(int secondByte) {
        return secondByte < FIRST_ZONE_SECOND_BYTE ? -1 : secondByte - FIRST_ZONE_SECOND_BYTE;
    }

    /**
     * The address of a control machine for real or for hollow proxies; the addresses differ, so
     * that traffic is counted for each role.
     */
    String controlIp(int machine, boolean byReal) {
        return "127." + CONTROL_SECOND_BYTE + "." + machine + "." + (byReal ? 2 : 1);
    }

    String name(int proxy) {
        return "n" + proxy;
    }

    /** The id of the backend beside a proxy after a number of replacements. */
    String backend(int proxy, int replaced) {
        return "s"
                + proxy % fleet.services()
                + "-b"
                + proxy
                + (replaced == 0 ? "" : "-r" + replaced);
    }
}
