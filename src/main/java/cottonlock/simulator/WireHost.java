package cottonlock.simulator;

import static cottonlock.core.Ticks.MICROSECONDS_PER_TICK;

import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.request.RequestArrival;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import cottonlock.simulator.WireVocabulary.Event;
import cottonlock.simulator.WireVocabulary.ListScope;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Hosts the load balancers of a simulation. Each message that is read becomes a call to one of
 * them, and their actions, in order, form the reply to the batch. Used by one thread.
 */
public final class WireHost {
    /** The exclusive upper bound of attempt numbers. */
    private static final int NUMBER_LIMIT = Integer.MAX_VALUE;

    /** The bit of a request's flags that marks its estimated work as valid. */
    private static final long ESTIMATED_WORK_FLAG = 1;

    /** The bit of a request's flags that marks a retry by the client. */
    private static final long CLIENT_RETRY_FLAG = 2;

    private final LineReader in;
    private final Reply reply;
    private final PrintStream errors;
    private final EndpointListReader endpointLists;
    private final Map<String, LoadBalancerInstance> instances = new HashMap<>();
    private long nowTicks;

    /** A host without instances, which writes replies to one stream and errors to another. */
    public WireHost(InputStream in, OutputStream out, PrintStream errors) {
        this.in = new LineReader(in);
        this.reply = new Reply(out);
        this.errors = errors;
        this.endpointLists = new EndpointListReader(this.in);
    }

    /**
     * Serves batch after batch until the input ends.
     *
     * @return the exit code: 0, or 1 after malformed input, which is reported in one line
     * @throws IOException if a stream fails
     */
    public int run() throws IOException {
        try {
            while (in.nextLine()) {
                serveBatch();
            }
            return 0;
        } catch (InvalidSettingsException e) {
            errors.println("cottonlock: line " + in.lineNumber() + ": " + e.getMessage());
            return 1;
        }
    }

    private void serveBatch() throws IOException {
        if (!in.readText("message").equals(WireVocabulary.BATCH_START)) {
            throw new InvalidSettingsException("a batch must start with 'tick'");
        }
        long clockMicros = in.readLong("clock");
        if (clockMicros < 0 || clockMicros / MICROSECONDS_PER_TICK < nowTicks) {
            throw new InvalidSettingsException("the clock goes backwards: " + clockMicros);
        }
        nowTicks = clockMicros / MICROSECONDS_PER_TICK;
        long batchNumber = in.readLong("batch number");
        for (String message = nextMessage();
                !message.equals(WireVocabulary.BATCH_END);
                message = nextMessage()) {
            handle(Event.of(message));
        }
        reply.start(WireVocabulary.REPLY_END).field(batchNumber).end();
        reply.send();
    }

    private String nextMessage() throws IOException {
        if (!in.nextLine()) {
            throw new InvalidSettingsException("the input ends within a batch");
        }
        return in.readText("message");
    }

    private void handle(Event event) throws IOException {
        switch (event) {
            case INSTANCE_STARTED -> startInstance();
            case INSTANCE_STOPPED -> stopInstance();
            case ENDPOINT_LIST -> endpointLists.readList();
            default -> handle(event, readInstance());
        }
    }

    private void handle(Event event, LoadBalancerInstance instance) {
        LoadBalancer loadBalancer = instance.loadBalancer();
        switch (event) {
            case REQUEST -> onRequest(instance);
            case ATTEMPT_COMPLETED -> onAttemptCompleted(loadBalancer);
            case TIMER -> {
                in.skipField("Ref");
                loadBalancer.onTimer(nowTicks);
            }
            case ENDPOINT_LIST_CHANGED -> onEndpointList(loadBalancer);
            case CLIENT_DISCONNECTED ->
                    loadBalancer.onClientDisconnected(nowTicks, in.readLong("Rid"));
            case PROBE_COMPLETED -> skipProbeResult();
            case PEER_MESSAGE -> {
                in.readLong("SrcPeer");
                loadBalancer.onPeerMessage(nowTicks, decode(in.readText("Msg")));
            }
            case RESPONSE_STARTED -> {
                long requestId = in.readLong("Rid");
                int attemptNumber = in.readIndex("SendNo", NUMBER_LIMIT);
                loadBalancer.onResponseStarted(nowTicks, requestId, attemptNumber);
            }
            default -> throw new IllegalArgumentException(event + " concerns no instance");
        }
    }

    private LoadBalancerInstance readInstance() {
        String name = in.readText("Proxy");
        LoadBalancerInstance instance = instances.get(name);
        if (instance == null) {
            throw new InvalidSettingsException("unknown instance: " + name);
        }
        return instance;
    }

    private void startInstance() {
        String name = in.readText("Proxy");
        long seed = in.readLong("Prng");
        Settings settings = new Settings();
        while (in.hasMoreFields()) {
            settings.put(in.readText("setting"));
        }
        LoadBalancerInstance instance = new LoadBalancerInstance(name, reply, seed, settings);
        instances.put(name, instance);
        instance.loadBalancer().start(nowTicks);
    }

    private void stopInstance() {
        String name = in.readText("Proxy");
        if (instances.remove(name) == null) {
            throw new InvalidSettingsException("unknown instance: " + name);
        }
    }

    private void onRequest(LoadBalancerInstance instance) {
        long requestId = in.readLong("Rid");
        int requestClass = in.readIndex("Service", instance.requestClasses().size());
        int tenant = in.readIndex("Team", Math.max(1, instance.tenantCount()));
        in.skipField("Object");
        long clientTimeoutTicks = Math.floorDiv(in.readLong("Budget"), MICROSECONDS_PER_TICK);
        long workMicros = in.readLong("Cost");
        long flags = in.readLong("Bitmap");
        boolean hasEstimatedWork = (flags & ESTIMATED_WORK_FLAG) != 0;
        RequestArrival arrival =
                new RequestArrival(
                        requestId,
                        instance.requestClasses().get(requestClass),
                        instance.maxAttempts(),
                        tenant,
                        clientTimeoutTicks,
                        (flags & CLIENT_RETRY_FLAG) != 0,
                        hasEstimatedWork ? workMicros / MICROSECONDS_PER_TICK : 0);
        instance.loadBalancer().onRequest(nowTicks, arrival);
    }

    private void onAttemptCompleted(LoadBalancer loadBalancer) {
        long requestId = in.readLong("Rid");
        AttemptOutcome outcome = WireVocabulary.outcome(in.readText("Outcome"));
        int attemptNumber = in.readIndex("SendNo", NUMBER_LIMIT);
        in.readLong("Latency");
        boolean requestCompleted = in.readLong("NoMore") != 0;
        in.skipField("Backend");
        skipFeedback();
        loadBalancer.onAttemptCompleted(
                nowTicks, requestId, attemptNumber, outcome, requestCompleted);
    }

    private void onEndpointList(LoadBalancer loadBalancer) {
        String scopeName = in.readText("Scope");
        in.readLong("Revision");
        if (scopeName.equals(WireVocabulary.LIST_FAILED)) {
            loadBalancer.onEndpointListFailed(nowTicks);
            return;
        }
        List<Endpoint> endpoints = endpointLists.readReferencedList();
        ListScope scope = ListScope.of(scopeName);
        loadBalancer.onEndpointList(
                nowTicks, endpoints, scope != ListScope.CHANGES, scope == ListScope.CACHED);
    }

    private void skipProbeResult() {
        WireVocabulary.outcome(in.readText("Outcome"));
        in.readLong("Latency");
        in.skipField("Backend");
        skipFeedback();
    }

    private void skipFeedback() {
        if (in.hasMoreFields()) {
            in.skipField("Feedback");
        }
    }

    private static byte[] decode(String text) {
        try {
            return text.equals(WireVocabulary.ABSENT)
                    ? new byte[0]
                    : Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("Msg is not base64: " + text);
        }
    }
}
