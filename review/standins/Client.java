import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection to an entry host, which it keeps open. */
final class Client {
    private final Fleet fleet;
    private final Socket socket = new Socket();

    /** What became of a request; the status is 0 if the connection ended without a complete answer. */
    record Result(String id, int status, long sentMillis, long endMillis, boolean closes) {}

    Client(Fleet fleet, InetSocketAddress host) throws IOException {
        this.fleet = fleet;
        socket.setTcpNoDelay(true);
        socket.connect(host, 1000);
    }

    static String head(String method, String path, String host, String id, int deadlineMillis, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Remaining: " + deadlineMillis + "\r\nAuthorization: Token " + Fleet.KEY
                + (length >= 0 ? "\r\nContent-Length: " + length : "") + "\r\n\r\n";
    }

    /** Sends a booking and waits for the answer. */
    Result book() {
        String id = Fleet.newId();
        byte[] request = (head("POST", "/pay/" + id, "pay.example", id, 8000, 300) + "x".repeat(300)).getBytes();
        long sent = fleet.millis();
        fleet.log("client sends " + id);
        try {
            socket.getOutputStream().write(request);
            socket.setSoTimeout(8000);
            Http answer = Http.read(socket.getInputStream(), true);
            if (answer != null && answer.complete) {
                fleet.log("client gets " + answer.status() + " for " + id);
                boolean closes = answer.header("Connection").equals("close");
                return new Result(id, answer.status(), sent, fleet.millis(), closes);
            }
        } catch (IOException broken) {
            // No answer.
        }
        fleet.log("client's connection ended without an answer to " + id);
        return new Result(id, 0, sent, fleet.millis(), true);
    }

    void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to do.
        }
    }
}
