package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;

/** One datagram, read. Each kind uses some of the fields; the rest stay as they are here. */
@Deterministic
final class Message {

    enum Kind {
        /**
         * Wants an answer: {@code seq}; {@code target}, empty for whoever is there; {@code behalf}.
         */
        PING,
        /** The answer: {@code seq}, {@code heard}. */
        ACK,
        /** Wants the receiver to probe another: {@code seq}, {@code target}, {@code address}. */
        PING_REQUEST,
        /** That other has answered well: {@code seq}, {@code heard}. */
        INDIRECT_ACK,
        /** It has not, or badly: {@code seq}. */
        NACK,
        /** The sender's view in short: {@code marks}, one for each part of the names. */
        PARTITION_DIGESTS,
        /**
         * Words of one part of the names, whole from {@code after} on: {@code parts}, {@code part}.
         */
        PARTITION_PAGE,
        /** Words alone. */
        UPDATES,
        /** What another subsystem tells: {@code topic}, {@code body}. */
        PAYLOAD
    }

    final Kind kind;

    /** What the sender says of itself. */
    final MemberUpdate sender;

    /** Counts the sender's datagrams in this life: what comes twice or too late is known by it. */
    final long datagramNumber;

    /** Of the sender's view. */
    final long viewDigest;

    /** For how long the sender's module has stood still, in hundredths of a second. */
    final int stallCentis;

    int sequenceNumber;
    String target = "";
    String targetAddress = "";

    /** The name of whoever the probe is made for; empty for the sender itself. */
    String onBehalfOf = "";

    /** Whether the one that probes, or had it done, was heard of late without a detour. */
    boolean heardRecently;

    int partitions = 1;
    int partition;
    String afterName = "";

    /** Whether a page goes on to the last name of its part. */
    boolean lastPage;

    int[] partitionDigests = {};
    int topic;
    byte[] payload = {};
    final List<MemberUpdate> updates = new ArrayList<>();

    Message(Kind kind, MemberUpdate sender, long counter, long digest, int lag) {
        this.kind = kind;
        this.sender = sender;
        this.datagramNumber = counter;
        this.viewDigest = digest;
        this.stallCentis = lag;
    }
}
