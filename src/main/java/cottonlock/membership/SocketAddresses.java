package cottonlock.membership;

import java.net.InetSocketAddress;

/** The text form of members' addresses: an IP address, IPv6 in brackets, a colon and a port. */
public final class SocketAddresses {
    private SocketAddresses() {}

    /** Formats an address. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /**
     * Parses an address; no host name is ever resolved.
     *
     * @throws IllegalArgumentException if the host is not an IP address or the port is not valid
     */
    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        if (!host.startsWith("[") && !Character.isDigit(host.charAt(0))) {
            throw new IllegalArgumentException("not an IP address");
        }
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }
}
