package cottonlock.decision.api;

/**
 * How a deployment is laid out, as far as its settings tell. Times are in tenths of a millisecond.
 *
 * @param balancers how many there are, 1 at least
 * @param me the number of this one among them
 * @param alike whether each carries about the same; not where each client has one of its own
 * @param rest for each backend, how long a connection rests until it has cost as much as a new one;
 *     0 where keeping one costs nothing
 * @param mayTell whether balancers may send each other messages
 * @param mustAsk whether changes of the list come only to those that ask for them
 * @param askWithin how long a balancer may go without asking
 * @param removalBinds whether one that has gone from the list without draining gets nothing more
 * @param due the mean due time of the categories: spans of measures are told in it, as work that
 *     may take longer brings fewer answers in the same time
 */
public record DeploymentTopology(
        int balancers,
        int me,
        boolean alike,
        double rest,
        boolean mayTell,
        boolean mustAsk,
        long askWithin,
        boolean removalBinds,
        long due) {
    /**
     * Measured: 15 need what holds for many; 2 to 4 on sockets, with little hidden, did no better
     * by it.
     */
    private static final int FEW = 8;

    /** Takes one balancer for the least there can be; of few, and for shorter due times, 1.56 s. */
    public DeploymentTopology {
        balancers = Math.max(1, balancers);
        due = balancers > FEW ? Math.max(15_625, due) : 15_625;
    }

    /** Whether there are so many balancers that each sees little of what comes to all. */
    public boolean many() {
        return balancers > FEW;
    }
}
