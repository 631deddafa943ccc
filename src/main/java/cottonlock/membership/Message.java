package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;

/**
 * One decoded datagram. Each kind uses some of the mutable fields, and the others keep their
 * initial values. {@link DatagramCodec} maps it to bytes.
 */
@Deterministic
final class Message {

    /** The purpose of a message, and the fields it carries. */
    enum Kind {
        /**
         * Probes the receiver: {@code sequenceNumber}, {@code target} (empty: any process at the
         * address), {@code onBehalfOf}.
         */
        PING(0),
        /** Answers a ping: {@code sequenceNumber}, {@code heardRecently}. */
        ACK(1),
        /**
         * Asks the receiver to probe another member: {@code sequenceNumber}, {@code target}, {@code
         * targetAddress}.
         */
        PING_REQUEST(2),
        /**
         * Reports that an indirect probe was answered: {@code sequenceNumber}, {@code
         * heardRecently}.
         */
        INDIRECT_ACK(3),
        /** Reports that an indirect probe failed: {@code sequenceNumber}. */
        NACK(4),
        /**
         * Carries digests of the sender's view, one for each partition: {@code partitionDigests}.
         */
        PARTITION_DIGESTS(5),
        /**
         * Carries updates of one partition, in the order of names from the one after {@code
         * afterName}: {@code partitions}, {@code partition}, {@code lastPage}.
         */
        PARTITION_PAGE(6),
        /** Carries updates only. */
        UPDATES(7),
        /** Carries data of another subsystem: {@code topic}, {@code payload}. */
        PAYLOAD(8);

        private static final Kind[] ALL = values();

        private final int wireNumber;

        Kind(int wireNumber) {
            this.wireNumber = wireNumber;
        }

        /** The number that denotes the kind in datagrams. */
        int wireNumber() {
            return wireNumber;
        }

        /** The kind with a number on the wire, or null if there is none. */
        static Kind ofWireNumber(int number) {
            for (Kind kind : ALL) {
                if (kind.wireNumber == number) {
                    return kind;
                }
            }
            return null;
        }
    }

    final Kind kind;

    /** The sender's own claim about itself. */
    final MemberUpdate sender;

    /** Counts the sender's datagrams in its generation, to recognize duplicates. */
    final long datagramNumber;

    /** Digest of the sender's view. */
    final long viewDigest;

    /** For how long the sender's worker has made no progress, in hundredths of a second. */
    final int stallCentis;

    /** Associates an answer with its probe. */
    int sequenceNumber;

    /** Name of the member to be probed. */
    String target = "";

    /** Address of the member to be probed. */
    String targetAddress = "";

    /** Name of the member that requested the probe; empty: the sender probes for itself. */
    String onBehalfOf = "";

    /** Whether the answering member has lately heard the probing member directly. */
    boolean heardRecently;

    /** Number of partitions of the names. */
    int partitions = 1;

    /** The partition that a page belongs to. */
    int partition;

    /** The page holds names that follow this one. */
    String afterName = "";

    /** Whether a page extends to the last name of its partition. */
    boolean lastPage;

    /** One digest for each partition. */
    int[] partitionDigests = {};

    /** The subsystem that a payload belongs to. */
    int topic;

    /** Data of another subsystem. */
    byte[] payload = {};

    /** Updates that the message carries. */
    final List<MemberUpdate> updates = new ArrayList<>();

    Message(Kind kind, MemberUpdate sender, long datagramNumber, long viewDigest, int stallCentis) {
        this.kind = kind;
        this.sender = sender;
        this.datagramNumber = datagramNumber;
        this.viewDigest = viewDigest;
        this.stallCentis = stallCentis;
    }
}
