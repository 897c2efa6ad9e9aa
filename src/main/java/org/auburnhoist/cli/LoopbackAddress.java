package org.auburnhoist.cli;

import java.net.InetSocketAddress;

/** The loopback address on which emulators listen. */
final class LoopbackAddress {
    private static final String IP_ADDRESS = "127.0.0.1";

    private LoopbackAddress() {}

    /** Whether the address is the one on which emulators may listen. */
    static boolean isLoopback(InetSocketAddress address) {
        return address.getHostString().equals(IP_ADDRESS);
    }
}
