import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound server as PROTOCOL.md describes it, which registers itself and records what it runs. */
class Upstream {
    final String id;
    final Fleet fleet;
    final String service;
    final InetSocketAddress address;
    private final long born = System.currentTimeMillis();
    private volatile String state = "ready";
    volatile int workMillis;
    private int sequence;
    private final ServerSocket listener;
    private final java.util.Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean crashed;
    private volatile boolean isDark;
    /** How often each attempt has run. */
    static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    /** When the server has finished its work on an attempt. */
    static final Map<String, Long> DONE = new ConcurrentHashMap<>();

    Upstream(String id, Fleet fleet, int workMillis) throws IOException {
        this(id, fleet, Fleet.SERVICE, workMillis);
    }

    Upstream(String id, Fleet fleet, String service, int workMillis) throws IOException {
        this.id = id;
        this.service = service;
        this.fleet = fleet;
        this.workMillis = workMillis;
        address = new InetSocketAddress("127.0.2.1", Fleet.freePort());
        listener = new ServerSocket();
        listener.bind(address, 256);
        daemon(this::accept);
        register();
        daemon(this::beat);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void register() {
        fleet.store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address.getHostString() + ":"
                        + address.getPort() + "\",\"zone\":\"cairo-zamalek\",\"version\":\"v1\",\"slots\":6,\"state\":\""
                        + state + "\",\"warmup_left_ms\":0,\"sequence\":" + sequence++ + ",\"born\":" + born + "}");
    }

    private void beat() {
        while (true) {
            sleep(1500);
            if (crashed) {
                return;
            }
            register();
            registered();
        }
    }

    /** Called after each heartbeat. */
    void registered() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends at once: the connections break, and nothing is said any more. */
    final void crash() throws IOException {
        fleet.log("server " + id + " crashes");
        crashed = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        // The entry of a silent server is removed after three heartbeat intervals.
        daemon(() -> {
            sleep(4_500);
            fleet.store.remove("servers/" + id);
        });
    }

    /** Loses power: nothing is answered on the open connections, new ones aren't accepted, and nothing is closed. */
    final void darken() throws IOException {
        fleet.log("server " + id + " loses power");
        isDark = true;
        crashed = true;
        listener.close();
        daemon(() -> {
            sleep(4_500);
            fleet.store.remove("servers/" + id);
        });
    }

    final boolean isDark() {
        return isDark;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Http request;
            while ((request = Http.readHead(socket.getInputStream())) != null) {
                if (!answer(request, socket)) {
                    return;
                }
            }
        } catch (IOException ended) {
            // The caller has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Handles a request; returns whether the connection stays open. */
    boolean answer(Http head, Socket socket) throws IOException {
        Http request = head.withBody(socket.getInputStream(), false);
        String attempt = request.header("X-Attempt-Id");
        OutputStream out = socket.getOutputStream();
        if (request.startLine.startsWith("GET /health")) {
            out.write(("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes());
            return true;
        }
        String target = request.header("X-Target-Instance");
        if (!target.isEmpty() && !target.equals(id)) {
            out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nX-Attempt-Id: " + attempt
                            + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes());
            return true;
        }
        if (!request.complete) {
            return false;
        }
        ran(attempt, request);
        sleep(workMillis);
        if (isDark) {
            sleep(600_000);
        }
        DONE.put(attempt, fleet.millis());
        respond(request, out);
        return true;
    }

    final void ran(String attempt, Http request) {
        int count = RUNS.computeIfAbsent(attempt, key -> new AtomicInteger()).incrementAndGet();
        fleet.log("server " + id + " of " + service + " runs " + attempt + " (" + count + ") " + request.startLine);
    }

    void respond(Http request, OutputStream out) throws IOException {
        byte[] body = ("done " + request.header("X-Attempt-Id")).getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                        + "\r\nX-Response-Signature: " + id + "." + body.length + "\r\nKeep-Alive: timeout=10\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes());
        out.write(body);
    }
}
