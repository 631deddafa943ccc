package cottonlock.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;

/** Datagrams are accepted only with a tag made by one of the configured keys. */
class DatagramAuthenticatorTest {
    private static Path keyFile(String text) throws IOException {
        Path file = Files.createTempFile("key", "");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    @Example
    void acceptsOnlyTagsOfConfiguredKeysAndBothDuringRotation() throws Exception {
        Path oldKeyFile = keyFile("0123456789abcdef\n");
        Path newKeyFile = keyFile("  fedcba9876543210");
        DatagramAuthenticator oldKey = new DatagramAuthenticator(List.of(oldKeyFile));
        DatagramAuthenticator bothKeys = new DatagramAuthenticator(List.of(newKeyFile, oldKeyFile));
        DatagramAuthenticator newKey = new DatagramAuthenticator(List.of(newKeyFile));
        byte[] datagram = {(byte) DatagramCodec.MAGIC, 1, 2, 3};
        byte[] signed = oldKey.sign(datagram);
        assertEquals(datagram.length + DatagramAuthenticator.TAG_BYTES, signed.length);
        assertArrayEquals(
                datagram, Arrays.copyOf(signed, 4), "signing must not change the content");
        assertEquals(4, oldKey.verify(signed, signed.length));
        assertEquals(4, bothKeys.verify(signed, signed.length));
        assertEquals(-1, newKey.verify(signed, signed.length));
        byte[] signedWithNewKey = bothKeys.sign(datagram);
        assertEquals(4, newKey.verify(signedWithNewKey, signedWithNewKey.length));
        assertEquals(-1, oldKey.verify(signedWithNewKey, signedWithNewKey.length));
        for (int i = 0; i < signed.length; i++) {
            byte[] corrupted = signed.clone();
            corrupted[i] ^= 1;
            assertEquals(-1, oldKey.verify(corrupted, corrupted.length), "byte " + i);
        }
        for (int length = 0; length < signed.length; length++) {
            assertEquals(-1, oldKey.verify(signed, length), length + " bytes");
        }
    }

    @Example
    void rejectsMissingAndTooShortKeys() throws Exception {
        assertTrue(
                assertThrows(
                                IOException.class,
                                () -> new DatagramAuthenticator(List.of(Path.of("/no/such"))))
                        .getMessage()
                        .contains("is not there"));
        Path shortKeyFile = keyFile("            \n\n         x       ");
        assertTrue(
                assertThrows(
                                IOException.class,
                                () -> new DatagramAuthenticator(List.of(shortKeyFile)))
                        .getMessage()
                        .contains("holds no key"));
    }
}
