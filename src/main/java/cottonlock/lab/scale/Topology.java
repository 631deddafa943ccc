package cottonlock.lab.scale;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;

/**
 * Where each proxy and each machine of control of a run stands, and which addresses are theirs.
 * Zones are dealt out to regions in rows, proxies to zones in turn; the zone can be read off an
 * address.
 */
@Deterministic
final class Topology {
    /**
     * The second byte of addresses: of control, and of the first zone; all of 127/8 is loopback.
     */
    private static final int CONTROL_SECOND_BYTE = 9;

    private static final int FIRST_ZONE_SECOND_BYTE = 10;

    private final ScaleFile.Fleet fleet;
    private final int controlMachines;
    private final List<Integer> real = new ArrayList<>();
    private final boolean[] isReal;

    Topology(ScaleFile.Fleet fleet, int controlMachines) {
        this.fleet = fleet;
        this.controlMachines = controlMachines;
        this.isReal = new boolean[fleet.size()];
        // All of one region: what passes between two of them is seen by nobody and can't be cut.
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

    /** Of all zones: the rack's number is the zone's times the racks, and its own. */
    int rack(int proxy) {
        return zone(proxy) * fleet.racks() + proxy / fleet.zones() % fleet.racks();
    }

    /** The proxies that are processes of {@code serve}. */
    List<Integer> real() {
        return real;
    }

    boolean isReal(int proxy) {
        return isReal[proxy];
    }

    /** Machines of control are dealt out to regions in turn, and in each to its zones in turn. */
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

    /** The machine of control that a proxy asks: of its zone, else of its region. */
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

    /** The zone of an address of a proxy; -1 for any other. */
    static int zoneOf(int secondByte) {
        return secondByte < FIRST_ZONE_SECOND_BYTE ? -1 : secondByte - FIRST_ZONE_SECOND_BYTE;
    }

    /**
     * Where a machine of control is asked by proxies of a role; an address each, to tell them
     * apart.
     */
    String controlIp(int machine, boolean byReal) {
        return "127." + CONTROL_SECOND_BYTE + "." + machine + "." + (byReal ? 2 : 1);
    }

    String name(int proxy) {
        return "n" + proxy;
    }

    /** The id of the backend beside a proxy, after so many replacements. */
    String backend(int proxy, int replaced) {
        return "s"
                + proxy % fleet.services()
                + "-b"
                + proxy
                + (replaced == 0 ? "" : "-r" + replaced);
    }
}
