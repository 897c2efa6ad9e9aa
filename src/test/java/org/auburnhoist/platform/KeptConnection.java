package org.auburnhoist.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.auburnhoist.proxy.RawConnection;

/** A caller that makes one payment when it opens its connection, and keeps the connection for another one. */
final class KeptConnection implements AutoCloseable {
    /** Status of a payment whose connection ended without an answer. */
    static final int NO_ANSWER = 0;

    private final RawConnection connection;
    private final String name;
    private int payments;

    KeptConnection(InetSocketAddress address, String name) throws IOException {
        this.connection = RawConnection.to(address);
        this.name = name;
        if (pay() != 200) {
            throw new IOException(name + ": expected a first payment with status 200");
        }
    }

    /** The attempt ID of the latest payment. */
    String lastAttempt() {
        return name + "-" + payments;
    }

    /** Makes a payment and returns its status, or {@link #NO_ANSWER}. */
    int pay() {
        return payWithBodyAfter(0);
    }

    /** The same with a body that is sent some milliseconds after its head. */
    int payWithBodyAfter(long delayMillis) {
        payments++;
        try {
            connection.send("POST /bill/7 HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: " + lastAttempt()
                    + "\r\nX-Deadline-Remaining: 1900\r\nAuthorization: Token k1\r\nContent-Length: 2\r\n\r\n");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis));
            String head = connection.send("42").readHead();
            if (head == null) {
                return NO_ANSWER;
            }
            connection.readBody(head);
            return Integer.parseInt(head.substring(9, 12));
        } catch (IOException cut) {
            return NO_ANSWER;
        }
    }

    @Override
    public void close() throws IOException {
        connection.close();
    }
}
