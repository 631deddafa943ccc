package cottonlock.simulator;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.setup.InvalidSettingsException;

/** The words of the simulator's protocol and the names that this program uses for them. */
final class WireVocabulary {
    /** Starts a batch of messages. */
    static final String BATCH_START = "tick";

    /** Ends a batch of messages. */
    static final String BATCH_END = "eob";

    /** Ends the reply to a batch. */
    static final String REPLY_END = "yield";

    /** One endpoint of a list. */
    static final String ENDPOINT = "item";

    /** Stands for a value that is absent. */
    static final String ABSENT = "-";

    /** Addresses every other load balancer of the deployment. */
    static final String ALL_PEERS = "all";

    /** The scope that reports a failed request for the endpoint list. */
    static final String LIST_FAILED = "failed";

    private WireVocabulary() {}

    /** Messages of a batch; each concerns one instance, except {@link #ENDPOINT_LIST}. */
    enum Event {
        INSTANCE_STARTED,
        INSTANCE_STOPPED,
        ENDPOINT_LIST,
        ENDPOINT_LIST_CHANGED,
        REQUEST,
        CLIENT_DISCONNECTED,
        ATTEMPT_COMPLETED,
        RESPONSE_STARTED,
        PROBE_COMPLETED,
        PEER_MESSAGE,
        TIMER;

        /**
         * The event of this name on the wire.
         *
         * @throws InvalidSettingsException if there is none
         */
        static Event of(String wireName) {
            return switch (wireName) {
                case "init" -> INSTANCE_STARTED;
                case "retire" -> INSTANCE_STOPPED;
                case "register" -> ENDPOINT_LIST;
                case "endpoints" -> ENDPOINT_LIST_CHANGED;
                case "inbound" -> REQUEST;
                case "left" -> CLIENT_DISCONNECTED;
                case "settled" -> ATTEMPT_COMPLETED;
                case "under_way" -> RESPONSE_STARTED;
                case "ping_result" -> PROBE_COMPLETED;
                case "inbox" -> PEER_MESSAGE;
                case "timer" -> TIMER;
                default -> throw new InvalidSettingsException("unknown message: " + wireName);
            };
        }
    }

    /** Messages of a reply. */
    enum Action {
        START_ATTEMPT("dispatch"),
        CANCEL_ATTEMPT("retract"),
        REJECT("overload_reply"),
        FAIL("give_up"),
        SCHEDULE_TIMER("set_timer"),
        SUBSCRIBE_ENDPOINT_LIST("listen"),
        CLOSE_IDLE_CONNECTIONS("release"),
        PROBE("probe"),
        BROADCAST_TO_PEERS("share"),
        LOG("trace");

        private final String wireName;

        Action(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }
    }

    /** The part of the endpoint list that a message contains. */
    enum ListScope {
        COMPLETE,
        CHANGES,
        CACHED;

        /**
         * The scope of this name on the wire.
         *
         * @throws InvalidSettingsException if there is none
         */
        static ListScope of(String wireName) {
            return switch (wireName) {
                case "full" -> COMPLETE;
                case "delta" -> CHANGES;
                case "cached" -> CACHED;
                default -> throw new InvalidSettingsException("unknown Scope: " + wireName);
            };
        }
    }

    /**
     * The attempt outcome of this name on the wire.
     *
     * @throws InvalidSettingsException if there is none
     */
    static AttemptOutcome outcome(String wireName) {
        return switch (wireName) {
            case "completed" -> AttemptOutcome.COMPLETED;
            case "errored" -> AttemptOutcome.ERROR;
            case "saturated" -> AttemptOutcome.REJECTED;
            case "overdue" -> AttemptOutcome.TIMED_OUT;
            case "refused_conn" -> AttemptOutcome.CONNECT_FAILED;
            case "severed" -> AttemptOutcome.CONNECTION_BROKEN;
            case "recalled" -> AttemptOutcome.CANCELLED;
            case "superseded" -> AttemptOutcome.NOT_SENT;
            default -> throw new InvalidSettingsException("unknown Outcome: " + wireName);
        };
    }

    /**
     * The state of this name on the wire.
     *
     * @throws InvalidSettingsException if there is none; it names the endpoint
     */
    static Endpoint.State state(String wireName, String endpointId) {
        return switch (wireName) {
            case "ready" -> Endpoint.State.READY;
            case "draining" -> Endpoint.State.DRAINING;
            case "gone" -> Endpoint.State.GONE;
            default -> throw new InvalidSettingsException("unknown Lifecycle of " + endpointId);
        };
    }
}
