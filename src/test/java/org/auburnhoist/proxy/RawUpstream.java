package org.auburnhoist.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream server whose connections follow a script. */
final class RawUpstream implements AutoCloseable {
    interface Script {
        void serve(RawConnection connection, int number) throws Exception;
    }

    final List<String> heads = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    private final ServerSocket listener;
    private final Script script;

    RawUpstream(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    /** Creates a server that sends the given response to every request. */
    static RawUpstream responding(String response) throws IOException {
        RawUpstream[] self = new RawUpstream[1];
        self[0] = new RawUpstream((connection, number) -> {
            String head;
            while ((head = self[0].readHead(connection)) != null) {
                connection.readBody(head);
                connection.send(response);
            }
        });
        return self[0];
    }

    String readHead(RawConnection connection) throws IOException {
        String head = connection.readHead();
        if (head != null) {
            heads.add(head);
        }
        return head;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                RawConnection connection = new RawConnection(listener.accept());
                if (listener.isClosed()) {
                    // A thread blocked in accept may still receive a connection that arrived after the close.
                    connection.reset();
                    return;
                }
                int number = connections.incrementAndGet();
                start(() -> serve(connection, number));
            }
        } catch (IOException closed) {
            // The listener is closed at the end of the test.
        }
    }

    private void serve(RawConnection connection, int number) {
        try (connection) {
            script.serve(connection, number);
        } catch (Exception ended) {
            // A broken connection ends the script; the test checks what the caller received.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
