package cottonlock.proxy.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Heads of messages and their fields. */
class MessageHeadTest {
    private static final int HEADS = 400;
    private static final int FIELDS = 1_500;

    private static MessageHead parse(String... lines) throws Exception {
        return MessageHeadParser.parse(String.join("\r\n", lines));
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /**
     * Guards against heads of very many short fields that took some twenty times their bytes:
     * hundreds of such clients at once brought the process over its memory limit.
     */
    @Example
    void aHeadTakesLittleMoreThanItsBytesHoweverManyFieldsItHas() throws Exception {
        String text = "GET / HTTP/1.1" + "\r\na:".repeat(FIELDS);
        List<MessageHead> heads = new ArrayList<>();
        long before = usedBytes();
        for (int i = 0; i < HEADS; i++) {
            heads.add(MessageHeadParser.parse(new String(text)));
        }
        long bytesPerHead = (usedBytes() - before) / HEADS;
        assertEquals("GET", heads.get(HEADS - 1).method());
        assertTrue(bytesPerHead < 3L * text.length(), bytesPerHead + " bytes for each head");
    }

    @Example
    void fieldsAreFoundByTheirWholeNames() throws Exception {
        MessageHead head =
                parse(
                        "GET / HTTP/1.1",
                        "Host: a",
                        "Hosts: b",
                        "X-Host:c:d",
                        "EMPTY:",
                        "List: x, Y");
        assertEquals("a", head.singleValue("host"));
        assertEquals("c:d", head.singleValue("x-host"));
        assertEquals("", head.singleValue("Empty"));
        assertNull(head.singleValue("Hos"));
        assertNull(head.singleValue("ost"));
        assertTrue(head.hasListElement("list", "y"));
        assertFalse(head.hasListElement("List", "z"));
        assertNull(parse("GET / HTTP/1.1").singleValue("Host"));
    }

    @Example
    void aFieldThatMayOccurOnceIsRefusedTwice() throws Exception {
        MessageHead head = parse("GET / HTTP/1.1", "A: 1", "B: 2", "a: 1");
        assertThrows(MalformedMessageException.class, () -> head.singleValue("A"));
        assertEquals("2", head.singleValue("B"));
        assertTrue(
                parse("GET / HTTP/1.1", "C: x", "D: 1", "c: close").hasListElement("C", "close"));
    }

    @Example
    void linesThatAreNoFieldsAreRefused() {
        for (String line : List.of("no colon", ": no name", "a b: c", " folded: x", "")) {
            assertThrows(
                    MalformedMessageException.class, () -> parse("GET / HTTP/1.1", "A: 1", line));
            assertThrows(
                    MalformedMessageException.class, () -> parse("GET / HTTP/1.1", line, "A: 1"));
        }
    }
}
