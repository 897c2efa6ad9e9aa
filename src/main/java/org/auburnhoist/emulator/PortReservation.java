package org.auburnhoist.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.jspecify.annotations.Nullable;

/** Holds a loopback port with a socket that does not listen, so that no other process gets it while it is refused. */
final class PortReservation implements AutoCloseable {
    private final @Nullable Socket socket;

    /** Reserves a port; if that fails, the port is refused as well, and only its later reuse is not ensured. */
    PortReservation(int port) {
        Socket bound = null;
        try {
            bound = new Socket();
            bound.setReuseAddress(true);
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        } catch (IOException cause) {
            bound = null;
        }
        socket = bound;
    }

    @Override
    public void close() {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException cause) {
            throw new IllegalStateException("could not release a reserved port", cause);
        }
    }
}
