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

/** Tags of the members' keys, and of no others. */
class DatagramAuthenticatorTest {
    private static Path key(String text) throws IOException {
        Path file = Files.createTempFile("key", "");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    @Example
    void onlyTagsOfTheKeysCountAndTwoCountWhileTheyAreChanged() throws Exception {
        Path one = key("0123456789abcdef\n");
        Path two = key("  fedcba9876543210");
        DatagramAuthenticator before = new DatagramAuthenticator(List.of(one));
        DatagramAuthenticator changing = new DatagramAuthenticator(List.of(two, one));
        DatagramAuthenticator after = new DatagramAuthenticator(List.of(two));
        byte[] datagram = {(byte) DatagramCodec.MAGIC, 1, 2, 3};
        byte[] sealed = before.sign(datagram);
        assertEquals(datagram.length + DatagramAuthenticator.TAG_BYTES, sealed.length);
        assertArrayEquals(datagram, Arrays.copyOf(sealed, 4), "the datagram itself stays readable");
        assertEquals(4, before.verify(sealed, sealed.length));
        assertEquals(4, changing.verify(sealed, sealed.length));
        assertEquals(-1, after.verify(sealed, sealed.length));
        byte[] later = changing.sign(datagram);
        assertEquals(4, after.verify(later, later.length));
        assertEquals(-1, before.verify(later, later.length));
        for (int i = 0; i < sealed.length; i++) {
            byte[] changed = sealed.clone();
            changed[i] ^= 1;
            assertEquals(-1, before.verify(changed, changed.length), "byte " + i);
        }
        for (int length = 0; length < sealed.length; length++) {
            assertEquals(-1, before.verify(sealed, length), length + " bytes");
        }
    }

    @Example
    void whatIsNoKeyIsRefused() throws Exception {
        assertTrue(
                assertThrows(
                                IOException.class,
                                () -> new DatagramAuthenticator(List.of(Path.of("/no/such"))))
                        .getMessage()
                        .contains("is not there"));
        Path spaces = key("            \n\n         x       ");
        assertTrue(
                assertThrows(IOException.class, () -> new DatagramAuthenticator(List.of(spaces)))
                        .getMessage()
                        .contains("holds no key"));
    }
}
