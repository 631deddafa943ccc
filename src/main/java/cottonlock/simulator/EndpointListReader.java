package cottonlock.simulator;

import cottonlock.core.Ticks;
import cottonlock.decision.api.Endpoint;
import cottonlock.setup.InvalidSettingsException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads endpoint lists and keeps each under its buffer number until it is replaced. */
final class EndpointListReader {
    private static final int BUFFER_COUNT = 16;

    /** The exclusive upper bound of the length of a list and of zones, machine kinds and cells. */
    private static final int NUMBER_LIMIT = Integer.MAX_VALUE;

    /** The capacity weight of an endpoint for which the list gives none. */
    private static final double DEFAULT_CAPACITY_WEIGHT = 1;

    private final LineReader in;

    /** By buffer number; null where no list has been read. */
    private final List<List<Endpoint>> listsByBuffer = new ArrayList<>();

    EndpointListReader(LineReader in) {
        this.in = in;
        for (int buffer = 0; buffer < BUFFER_COUNT; buffer++) {
            listsByBuffer.add(null);
        }
    }

    /**
     * Reads a list up to its last endpoint; the message name of its first line has already been
     * read.
     *
     * @throws InvalidSettingsException if the list is malformed or too short
     */
    void readList() throws IOException {
        int buffer = in.readIndex("Buffer", BUFFER_COUNT);
        int count = in.readIndex("MembersList", NUMBER_LIMIT);
        List<Endpoint> endpoints = new ArrayList<>();
        while (endpoints.size() < count) {
            if (!in.nextLine() || !in.readText("message").equals(WireVocabulary.ENDPOINT)) {
                throw new InvalidSettingsException(
                        "an endpoint list of " + count + " ends after " + endpoints.size());
            }
            endpoints.add(readEndpoint());
        }
        listsByBuffer.set(buffer, endpoints);
    }

    /**
     * Returns the list with the buffer number in the next field.
     *
     * @throws InvalidSettingsException if no list has been read for it
     */
    List<Endpoint> readReferencedList() {
        List<Endpoint> endpoints = listsByBuffer.get(in.readIndex("Buffer", BUFFER_COUNT));
        if (endpoints == null) {
            throw new InvalidSettingsException("no list has been registered under this Buffer");
        }
        return endpoints;
    }

    private Endpoint readEndpoint() {
        String id = in.readText("Backend");
        int zone = in.readIndex("FailureDomain", NUMBER_LIMIT);
        int machineKind = in.readIndex("ClassOfHost", NUMBER_LIMIT);
        int cell = in.readIndex("UnitGroup", NUMBER_LIMIT);
        Endpoint.State state = WireVocabulary.state(in.readText("Lifecycle"), id);
        double capacityWeight = capacityWeight(in.readText("Size"));
        // Rounded up: an earlier start would make the backend count as warmer than it is.
        long startedAtTicks =
                (in.readLong("ReadyAt") + Ticks.MICROSECONDS_PER_TICK - 1)
                        / Ticks.MICROSECONDS_PER_TICK;
        return new Endpoint(id, zone, machineKind, cell, state, capacityWeight, startedAtTicks);
    }

    private static double capacityWeight(String text) {
        if (text.equals(WireVocabulary.ABSENT)) {
            return DEFAULT_CAPACITY_WEIGHT;
        }
        double weight;
        try {
            weight = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            weight = Double.NaN;
        }
        if (weight >= 0 && weight < Double.POSITIVE_INFINITY) {
            return weight;
        }
        throw new InvalidSettingsException("Size is not a number: " + text);
    }
}
