package cottonlock.decision;

/** One link of the chain. */
abstract class RequestStage {
    RequestStage before;
    RequestStage after;

    void join(RequestStage before, RequestStage after) {
        this.before = before;
        this.after = after;
    }

    /** Takes a request on its way to a backend. */
    abstract void take(Request req, long now);

    /** Takes back a request that has ended, or for which no more can be done. */
    void back(Request req, long now) {
        before.back(req, now);
    }
}
