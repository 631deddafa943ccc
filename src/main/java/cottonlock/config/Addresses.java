package cottonlock.config;

import java.util.List;

/** Reads lists of addresses. */
final class Addresses {
    private Addresses() {}

    /**
     * Returns a list of numeric addresses with ports; empty if the key is missing. Any other string
     * in the list is added to the table's faults, but stays in the result.
     */
    static List<String> read(Fields table, String key) {
        List<String> addresses = table.texts(key, List.of());
        for (String address : addresses) {
            if (!Fields.isAddress(address)) {
                table.addFault(
                        key, "expected " + Fields.ADDRESS_FORM + ", found \"" + address + "\"");
            }
        }
        return addresses;
    }
}
