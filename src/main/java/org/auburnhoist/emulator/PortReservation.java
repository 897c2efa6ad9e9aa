package org.auburnhoist.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.jspecify.annotations.Nullable;

/** Binds a loopback port without listening, so that connections are refused and no other process takes the port. */
final class PortReservation implements AutoCloseable {
    private final Socket socket;

    private PortReservation(Socket socket) {
        this.socket = socket;
    }

    /** Reserves a port; returns null while a listening socket is still bound to it. */
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
