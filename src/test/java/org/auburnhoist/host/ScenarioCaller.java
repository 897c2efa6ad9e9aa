package org.auburnhoist.host;

import java.io.EOFException;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.proxy.RawConnection;

/** A caller that keeps one connection to each host open and reads each response to the end of its framing. */
final class ScenarioCaller implements AutoCloseable {
    private final String key;
    private final Map<EntryHost, RawConnection> connections = new HashMap<>();
    private int connectionsOpened;

    ScenarioCaller(String key) {
        this.key = key;
    }

    /** A complete response. */
    record Response(String head, byte[] body) {
        int status() {
            return Integer.parseInt(head.split(" ")[1]);
        }

        String refusal() {
            return header("Auburnhoist-Refusal");
        }

        /** Whether the response says that the request was not run. */
        boolean saysNotRun() {
            return header("Auburnhoist-Outcome").equals("not-run");
        }

        /** A header, empty if there is none. */
        String header(String name) {
            String value = RawConnection.header(head, name);
            return value == null ? "" : value;
        }

        String text() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    Response get(EntryHost host, String path) throws IOException {
        return call(host, "GET", path, "");
    }

    /** Sends a request; throws if the connection ends before the whole response was read. */
    Response call(EntryHost host, String method, String path, String operation) throws IOException {
        RawConnection connection = connections.get(host);
        try {
            if (connection == null) {
                connection = RawConnection.to(host.callerAddress());
                connectionsOpened++;
                connections.put(host, connection);
            }
            connection.send(request(method, path, operation));
            String head = connection.readHead();
            if (head == null) {
                throw new EOFException("no response");
            }
            Response response = new Response(head, connection.readBody(head));
            if (response.header("Connection").equalsIgnoreCase("close")) {
                closeConnection(host);
            }
            return response;
        } catch (IOException cause) {
            closeConnection(host);
            throw cause;
        }
    }

    int connectionsOpened() {
        return connectionsOpened;
    }

    private String request(String method, String path, String operation) {
        return method + " " + path + " HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer " + key + "\r\n"
                + (operation.isEmpty() ? "" : "Operation-Id: " + operation + "\r\n")
                + (method.equals("POST") ? "Content-Length: 11\r\n\r\ntelescope 7" : "\r\n");
    }

    private void closeConnection(EntryHost host) throws IOException {
        RawConnection connection = connections.remove(host);
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public void close() throws IOException {
        for (RawConnection connection : connections.values()) {
            connection.close();
        }
    }
}
