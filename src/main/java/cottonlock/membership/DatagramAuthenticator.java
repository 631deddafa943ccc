package cottonlock.membership;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Tags datagrams with a key that the fleet shares, and tells which bear another's tag. For one
 * thread.
 */
final class DatagramAuthenticator {
    /** Bytes of a tag: half of what the algorithm makes, as its standard allows. */
    static final int TAG_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    /** Bytes of a key: shorter ones can be guessed, longer ones are no keys. */
    private static final int SHORTEST = 16;

    private static final int LONGEST = 4_096;

    private final List<Mac> macs = new ArrayList<>();

    /**
     * Tags are made with the first key; those of all count.
     *
     * @throws IOException for a file that can't be read or holds no key
     */
    DatagramAuthenticator(List<Path> files) throws IOException {
        for (Path file : files) {
            byte[] key = key(file);
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(key, ALGORITHM));
                macs.add(mac);
            } catch (GeneralSecurityException e) {
                throw new IOException("no " + ALGORITHM + " is there: " + e.getMessage(), e);
            }
        }
    }

    /** The key that a file holds: its bytes without white space at both ends. */
    private static byte[] key(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new IOException("the key file " + file + " is not there");
        }
        byte[] bytes = Files.size(file) > LONGEST ? new byte[0] : Files.readAllBytes(file);
        int from = 0;
        int to = bytes.length;
        while (from < to && bytes[from] <= ' ' && bytes[from] >= 0) {
            from++;
        }
        while (to > from && bytes[to - 1] <= ' ' && bytes[to - 1] >= 0) {
            to--;
        }
        if (to - from < SHORTEST) {
            throw new IOException(
                    "the key file "
                            + file
                            + " holds no key of "
                            + SHORTEST
                            + " to "
                            + LONGEST
                            + " bytes");
        }
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** The datagram with its tag behind it. */
    byte[] sign(byte[] datagram) {
        byte[] sealed = Arrays.copyOf(datagram, datagram.length + TAG_BYTES);
        System.arraycopy(macs.get(0).doFinal(datagram), 0, sealed, datagram.length, TAG_BYTES);
        return sealed;
    }

    /** How many bytes there are before a right tag; -1: it bears none. */
    int verify(byte[] sealed, int length) {
        int inner = length - TAG_BYTES;
        if (inner <= 0) {
            return -1;
        }
        for (Mac mac : macs) {
            mac.update(sealed, 0, inner);
            byte[] right = mac.doFinal();
            int wrong = 0;
            // All bytes are looked at: how long it takes must tell nothing of where it differs.
            for (int i = 0; i < TAG_BYTES; i++) {
                wrong |= right[i] ^ sealed[inner + i];
            }
            if (wrong == 0) {
                return inner;
            }
        }
        return -1;
    }
}
