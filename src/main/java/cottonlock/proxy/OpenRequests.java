package cottonlock.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The requests that are owed a response or have attempts in flight, by number and by deadline. What
 * has been removed is referenced no more: a client that is refused may send the next request at
 * once, long before the deadline of the last one. Owned by the load balancer's thread.
 */
final class OpenRequests {
    private final Map<Long, ClientRequest> byNumber = new HashMap<>();
    private final SortedSet<ClientRequest> byDeadline =
            new TreeSet<>(
                    Comparator.comparingLong((ClientRequest request) -> request.deadlineTicks)
                            .thenComparingLong(request -> request.number));

    /** Adds a request, whose number must be new. */
    void add(ClientRequest request) {
        byNumber.put(request.number, request);
        byDeadline.add(request);
    }

    /** The request with that number; null if there is none. */
    ClientRequest get(long number) {
        return byNumber.get(number);
    }

    /** Removes a request if it is held. */
    void remove(ClientRequest request) {
        byNumber.remove(request.number);
        byDeadline.remove(request);
    }

    /** The earliest deadline, or the given time if that is earlier; in ticks. */
    long earliestDeadline(long otherwiseTicks) {
        return byDeadline.isEmpty()
                ? otherwiseTicks
                : Math.min(otherwiseTicks, byDeadline.first().deadlineTicks);
    }

    /** The requests whose deadline has come, the earliest first; each is returned once. */
    List<ClientRequest> takeDue(long nowTicks) {
        List<ClientRequest> due = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().deadlineTicks <= nowTicks) {
            ClientRequest request = byDeadline.first();
            byDeadline.remove(request);
            due.add(request);
        }
        return due;
    }

    /** Limits the deadlines of all requests. */
    void limitDeadlines(long latestTicks) {
        byDeadline.clear();
        for (ClientRequest request : byNumber.values()) {
            request.deadlineTicks = Math.min(request.deadlineTicks, latestTicks);
            byDeadline.add(request);
        }
    }
}
