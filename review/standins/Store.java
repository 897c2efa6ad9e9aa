import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's store, as PROTOCOL.md describes it. It answers after 4 ms and loses nothing. */
final class Store {
    private record Item(String key, String value, long revision, long createdAt, long lease) {
        String json() {
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + revision
                    + ",\"created_at\":" + createdAt + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(String key, long revision, String json) {}

    private record Lease(long timeToLiveMillis, long endNanos) {}

    private static final int PAGE = 500;

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long nextLease = 1;

    Store(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    synchronized long put(String key, String value) {
        return put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(
                    key,
                    revision,
                    "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"removed\":true}"));
            notifyAll();
        }
    }

    private long put(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.createdAt(), lease);
        items.put(key, item);
        history.add(new Event(key, revision, item.json()));
        notifyAll();
        return revision;
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        leases.values().removeIf(lease -> lease.endNanos() - now < 0);
        List.copyOf(items.values()).forEach(item -> {
            if (item.lease() != 0 && !leases.containsKey(item.lease())) {
                remove(item.key());
            }
        });
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        StringBuilder reply = new StringBuilder();
        int status;
        try {
            Thread.sleep(4);
            synchronized (this) {
                expireLeases();
                status = call(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body, reply);
            }
        } catch (InterruptedException | RuntimeException cause) {
            status = 503;
        }
        byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    @SuppressWarnings("unchecked")
    private int call(String method, String path, Map<String, String> query, String body, StringBuilder reply)
            throws InterruptedException {
        if (path.equals("/api/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) {
                reply.append("{\"current_rev\":").append(revision).append('}');
                return 404;
            }
            String json = item.json();
            reply.append(json, 0, json.length() - 1).append(",\"current_rev\":").append(revision).append('}');
            return 200;
        }
        if (path.equals("/api/kv-range")) {
            List<String> found = new ArrayList<>();
            boolean more = false;
            for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
                if (item.key().startsWith(query.get("path_prefix"))) {
                    if (found.size() == PAGE) {
                        more = true;
                        break;
                    }
                    found.add(item.json());
                }
            }
            reply.append("{\"items\":[").append(String.join(",", found)).append("],\"has_more\":").append(more);
            reply.append(",\"current_rev\":").append(revision).append('}');
            return 200;
        }
        if (path.equals("/api/kv-watch")) {
            return watch(query, reply);
        }
        if (path.equals("/api/kv-txn")) {
            return transaction((Map<String, Object>) Json.read(body), reply);
        }
        if (path.equals("/api/kv-lease")) {
            long millis = (Long) ((Map<String, Object>) Json.read(body)).get("ttl_ms");
            leases.put(nextLease, new Lease(millis, System.nanoTime() + millis * 1_000_000));
            reply.append("{\"lease\":").append(nextLease++).append(",\"ttl_ms\":").append(millis).append('}');
            return 200;
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        if (method.equals("DELETE")) {
            leases.remove(id);
            expireLeases();
        } else {
            leases.put(
                    id, new Lease(lease.timeToLiveMillis(), System.nanoTime() + lease.timeToLiveMillis() * 1_000_000));
        }
        reply.append("{\"ttl_ms\":").append(lease.timeToLiveMillis()).append('}');
        return 200;
    }

    private int watch(Map<String, String> query, StringBuilder reply) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<String> events = history.stream()
                    .filter(event -> event.revision() > after && event.key().startsWith(query.get("path_prefix")))
                    .map(Event::json)
                    .toList();
            long millis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || millis <= 0) {
                reply.append("{\"events\":[").append(String.join(",", events));
                reply.append("],\"current_rev\":").append(revision).append('}');
                return 200;
            }
            wait(millis);
        }
    }

    @SuppressWarnings("unchecked")
    private int transaction(Map<String, Object> body, StringBuilder reply) {
        List<String> present = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> row : Json.rows(body, "expected_revision")) {
            Item item = items.get((String) row.get("key"));
            holds &= (item == null ? 0 : item.revision()) == (Long) row.get("revision");
            if (item != null) {
                present.add(item.json());
            }
        }
        if (!holds) {
            reply.append("{\"items\":[").append(String.join(",", present)).append("]}");
            return 412;
        }
        for (Map<String, Object> row : Json.rows(body, "puts")) {
            long lease = (Long) row.getOrDefault("lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        for (Map<String, Object> row : Json.rows(body, "puts")) {
            put((String) row.get("key"), (String) row.get("value"), (Long) row.getOrDefault("lease", 0L));
        }
        for (Object key : (List<Object>) (List<?>) body.getOrDefault("remove", List.of())) {
            remove((String) key);
        }
        reply.append("{\"revision\":").append(revision).append('}');
        return 200;
    }
}
