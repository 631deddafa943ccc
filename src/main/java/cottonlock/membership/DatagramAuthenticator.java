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
 * Signs datagrams with a key that all members share, and verifies their tags. Not thread-safe: its
 * {@link MembershipService} guards it.
 */
final class DatagramAuthenticator {
    /** Bytes of a tag: half of the algorithm's output, as RFC 2104 allows. */
    static final int TAG_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEY_BYTES = 4_096;

    private final List<Mac> macs = new ArrayList<>();

    /**
     * Reads the keys. Datagrams are signed with the first one; tags of each are valid.
     *
     * @throws IOException if a file can't be read or holds no valid key
     */
    DatagramAuthenticator(List<Path> keyFiles) throws IOException {
        for (Path keyFile : keyFiles) {
            byte[] key = readKey(keyFile);
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(key, ALGORITHM));
                macs.add(mac);
            } catch (GeneralSecurityException e) {
                throw new IOException(ALGORITHM + " is not available: " + e.getMessage(), e);
            }
        }
    }

    /** Reads the key in a file: its bytes without leading and trailing white space. */
    private static byte[] readKey(Path keyFile) throws IOException {
        if (!Files.isRegularFile(keyFile)) {
            throw new IOException("the key file " + keyFile + " is not there");
        }
        byte[] bytes =
                Files.size(keyFile) > MAX_KEY_BYTES ? new byte[0] : Files.readAllBytes(keyFile);
        int from = 0;
        int to = bytes.length;
        while (from < to && isWhitespace(bytes[from])) {
            from++;
        }
        while (to > from && isWhitespace(bytes[to - 1])) {
            to--;
        }
        if (to - from < MIN_KEY_BYTES) {
            throw new IOException(
                    "the key file "
                            + keyFile
                            + " holds no key of "
                            + MIN_KEY_BYTES
                            + " to "
                            + MAX_KEY_BYTES
                            + " bytes");
        }
        return Arrays.copyOfRange(bytes, from, to);
    }

    private static boolean isWhitespace(byte value) {
        return value >= 0 && value <= ' ';
    }

    /** The datagram followed by its tag. */
    byte[] sign(byte[] datagram) {
        byte[] signed = Arrays.copyOf(datagram, datagram.length + TAG_BYTES);
        System.arraycopy(macs.get(0).doFinal(datagram), 0, signed, datagram.length, TAG_BYTES);
        return signed;
    }

    /**
     * Verifies a datagram's tag.
     *
     * @return the number of bytes before the tag; -1 if there is no valid tag
     */
    int verify(byte[] signed, int length) {
        int contentLength = length - TAG_BYTES;
        if (contentLength <= 0) {
            return -1;
        }
        for (Mac mac : macs) {
            mac.update(signed, 0, contentLength);
            if (tagEquals(mac.doFinal(), signed, contentLength)) {
                return contentLength;
            }
        }
        return -1;
    }

    /** Compares all bytes, so that the time taken does not reveal where the tags differ. */
    private static boolean tagEquals(byte[] expected, byte[] signed, int tagStart) {
        int difference = 0;
        for (int i = 0; i < TAG_BYTES; i++) {
            difference |= expected[i] ^ signed[tagStart + i];
        }
        return difference == 0;
    }
}
