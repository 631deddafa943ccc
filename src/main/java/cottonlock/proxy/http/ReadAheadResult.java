package cottonlock.proxy.http;

/** What reading ahead of the message that is being served has come to. */
public enum ReadAheadResult {
    /** Bytes have been read. */
    READ,

    /** The peer has ended the stream. */
    END_OF_STREAM,

    /** Nothing has arrived in time. */
    TIMED_OUT,

    /** Nothing has been read: there is no space until some of what was read before is parsed. */
    NO_SPACE
}
