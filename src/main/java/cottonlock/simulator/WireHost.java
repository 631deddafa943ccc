package cottonlock.simulator;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Hosts the balancers of the bench: each line read becomes a call, each answer a line of the reply.
 */
public final class WireHost {
    private static final long MICROS = Settings.MICROS;
    private static final int BUFFERS = 16;

    /** Request and attempt numbers stay below this on the wire. */
    private static final int ANY = Integer.MAX_VALUE;

    private final LineReader in;
    private final Reply reply;
    private final PrintStream complaints;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<Endpoint>> buffers = new ArrayList<>();
    private long now;

    public WireHost(InputStream in, OutputStream out, PrintStream complaints) {
        this.in = new LineReader(in);
        this.reply = new Reply(out);
        this.complaints = complaints;
        for (int i = 0; i < BUFFERS; i++) {
            buffers.add(null);
        }
    }

    /** Serves batch after batch until the input ends; returns the exit code. */
    public int run() throws IOException {
        try {
            while (in.next()) {
                batch();
            }
            return 0;
        } catch (InvalidSettingsException e) {
            complaints.println("cottonlock: line " + in.number() + ": " + e.getMessage());
            return 1;
        }
    }

    private void batch() throws IOException {
        if (!in.word("message").equals("tick")) {
            throw new InvalidSettingsException("a batch must start with 'tick'");
        }
        long clock = in.whole("clock");
        if (clock < 0 || clock / MICROS < now) {
            throw new InvalidSettingsException("the clock goes backwards: " + clock);
        }
        now = clock / MICROS;
        long number = in.whole("batch number");
        while (true) {
            if (!in.next()) {
                throw new InvalidSettingsException("the input ends within a batch");
            }
            String message = in.word("message");
            if (message.equals("eob")) {
                break;
            }
            event(message);
        }
        reply.start("yield").field(number).end();
        reply.send();
    }

    private void event(String message) throws IOException {
        switch (message) {
            case "inbound" -> inbound(instance());
            case "settled" -> settled(instance());
            case "timer" -> {
                Instance i = instance();
                in.skip("Ref");
                i.balancer.onTimer(now);
            }
            case "register" -> register();
            case "endpoints" -> endpoints(instance());
            case "init" -> init();
            case "retire" -> {
                String name = in.word("Proxy");
                if (instances.remove(name) == null) {
                    throw new InvalidSettingsException("unknown instance: " + name);
                }
            }
            case "left" -> {
                Instance i = instance();
                i.balancer.onClientDisconnected(now, in.whole("Rid"));
            }
            case "ping_result" -> {
                instance();
                outcome(in.word("Outcome"));
                in.whole("Latency");
                in.skip("Backend");
                feedback();
            }
            case "inbox" -> {
                Instance i = instance();
                in.whole("SrcPeer");
                i.balancer.onPeerMessage(now, bytes(in.word("Msg")));
            }
            case "under_way" -> {
                Instance i = instance();
                long id = in.whole("Rid");
                int attempt = in.index("SendNo", ANY);
                i.balancer.onResponseStarted(now, id, attempt);
            }
            default -> throw new InvalidSettingsException("unknown message: " + message);
        }
    }

    private Instance instance() {
        String name = in.word("Proxy");
        Instance i = instances.get(name);
        if (i == null) {
            throw new InvalidSettingsException("unknown instance: " + name);
        }
        return i;
    }

    private void init() {
        String name = in.word("Proxy");
        long seed = in.whole("Prng");
        Settings settings = new Settings();
        while (in.hasMore()) {
            settings.put(in.word("setting"));
        }
        Instance i = new Instance(name, reply, seed, settings);
        instances.put(name, i);
        i.balancer.start(now);
    }

    private void register() throws IOException {
        int buffer = in.index("Buffer", BUFFERS);
        int n = in.index("MembersList", ANY);
        List<Endpoint> members = new ArrayList<>();
        for (int k = 0; k < n; k++) {
            if (!in.next() || !in.word("message").equals("item")) {
                throw new InvalidSettingsException("a list of " + n + " ends after " + k);
            }
            String id = in.word("Backend");
            int zone = in.index("FailureDomain", ANY);
            int kind = in.index("ClassOfHost", ANY);
            int cell = in.index("UnitGroup", ANY);
            Endpoint.State state =
                    switch (in.word("Lifecycle")) {
                        case "ready" -> Endpoint.State.READY;
                        case "draining" -> Endpoint.State.DRAINING;
                        case "gone" -> Endpoint.State.GONE;
                        default -> throw new InvalidSettingsException("unknown Lifecycle of " + id);
                    };
            double size = size(in.word("Size"));
            // Rounded up: a backend taken for younger than it is gets less, never more, than it can
            // bear.
            long startedAt = (in.whole("ReadyAt") + MICROS - 1) / MICROS;
            members.add(new Endpoint(id, zone, kind, cell, state, size, startedAt));
        }
        buffers.set(buffer, members);
    }

    private static double size(String word) {
        if (word.equals("-")) {
            return 1;
        }
        try {
            double size = Double.parseDouble(word);
            if (size >= 0 && size < Double.POSITIVE_INFINITY) {
                return size;
            }
        } catch (NumberFormatException e) {
            // Told below, as for a number out of range.
        }
        throw new InvalidSettingsException("Size is not a number: " + word);
    }

    private void endpoints(Instance i) {
        String scope = in.word("Scope");
        in.whole("Revision");
        if (scope.equals("failed")) {
            i.balancer.onEndpointListFailed(now);
            return;
        }
        List<Endpoint> members = buffers.get(in.index("Buffer", BUFFERS));
        if (members == null) {
            throw new InvalidSettingsException("no list has been registered under this Buffer");
        }
        switch (scope) {
            case "delta" -> i.balancer.onEndpointList(now, members, false, false);
            case "full" -> i.balancer.onEndpointList(now, members, true, false);
            case "cached" -> i.balancer.onEndpointList(now, members, true, true);
            default -> throw new InvalidSettingsException("unknown Scope: " + scope);
        }
    }

    private void inbound(Instance i) {
        long id = in.whole("Rid");
        int category = in.index("Service", i.categories);
        int tenant = in.index("Team", Math.max(1, i.tenants));
        in.skip("Object");
        long patience = Math.floorDiv(in.whole("Budget"), MICROS);
        long cost = in.whole("Cost");
        long bits = in.whole("Bitmap");
        long hint = (bits & 1) != 0 ? cost / MICROS : 0;
        i.balancer.onRequest(now, id, category, tenant, patience, (bits & 2) != 0, hint);
    }

    private void settled(Instance i) {
        long id = in.whole("Rid");
        AttemptOutcome outcome = outcome(in.word("Outcome"));
        int attempt = in.index("SendNo", ANY);
        in.whole("Latency");
        boolean over = in.whole("NoMore") != 0;
        in.skip("Backend");
        feedback();
        i.balancer.onAttemptCompleted(now, id, attempt, outcome, over);
    }

    private static AttemptOutcome outcome(String word) {
        return switch (word) {
            case "completed" -> AttemptOutcome.COMPLETED;
            case "errored" -> AttemptOutcome.ERROR;
            case "saturated" -> AttemptOutcome.REJECTED;
            case "overdue" -> AttemptOutcome.TIMED_OUT;
            case "refused_conn" -> AttemptOutcome.CONNECT_FAILED;
            case "severed" -> AttemptOutcome.CONNECTION_BROKEN;
            case "recalled" -> AttemptOutcome.CANCELLED;
            case "superseded" -> AttemptOutcome.NOT_SENT;
            default -> throw new InvalidSettingsException("unknown Outcome: " + word);
        };
    }

    private static byte[] bytes(String word) {
        try {
            return word.equals("-") ? new byte[0] : Base64.getDecoder().decode(word);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("Msg is not base64: " + word);
        }
    }

    private void feedback() {
        if (in.hasMore()) {
            in.skip("Feedback");
        }
    }
}
