package org.auburnhoist.cli;

import java.net.InetSocketAddress;

/** Addresses on which emulators listen. */
final class LoopbackAddress {
    private static final String HOST = "127.0.0.1";

    private LoopbackAddress() {}

    /** Whether an emulator can listen there. */
    static boolean isLoopback(InetSocketAddress address) {
        return address.getHostString().equals(HOST);
    }
}
