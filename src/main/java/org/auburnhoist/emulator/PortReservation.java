package org.auburnhoist.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.jspecify.annotations.Nullable;

/** Holds a loopback port with a socket that does not listen, so that no other process gets it while it is refused. */
final class PortReservation implements AutoCloseable {
    private final Socket socket;

    private PortReservation(Socket socket) {
        this.socket = socket;
    }

    /** Reserves a port; null while a listening socket still holds it. */
    static @Nullable PortReservation tryReserve(int port) {
        Socket bound = new Socket();
        try {
            bound.setReuseAddress(true);
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return new PortReservation(bound);
        } catch (IOException cause) {
            new PortReservation(bound).close();
            return null;
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException cause) {
            throw new IllegalStateException("could not release a reserved port", cause);
        }
    }
}
