package org.auburnhoist.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;

/** A fake upstream server that uses the platform's headers. */
final class FakeUpstreamServer implements AutoCloseable {
    /** How the server responds. */
    enum Mode {
        HEALTHY,
        /** Fails at once; the request counts as run. */
        ERROR,
        /** States that it did not run the request. */
        NOT_EXECUTED,
        /** Rejects requests and asks for a pause. */
        PAUSING,
        /** Responds successfully and announces its shutdown, which its registration does not show. */
        LEAVING,
        /** Responds with 503 but does not state whether the request ran. */
        OUTCOME_UNKNOWN,
        /** Responds with the ID of another attempt. */
        WRONG_ATTEMPT_ID,
        /** Runs the request, but first writes an earlier refusal once more, with the ID of the earlier attempt. */
        REPEATED_REFUSAL,
        /** The same, without an ID. */
        REPEATED_REFUSAL_WITHOUT_ID
    }

    static final int PAUSE_SECONDS = 3;

    private final String id;
    private final HttpServer server;
    private final List<Map<String, String>> requests = new CopyOnWriteArrayList<>();
    private volatile Mode mode = Mode.HEALTHY;
    private volatile String limit = "";
    private volatile long workMillis;

    FakeUpstreamServer(String id) throws IOException {
        this.id = id;
        server = ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setRequestRouter((request, context) -> this::handle)
                .create();
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    String registration(String service, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"a\",\"version\":\"v1\","
                + "\"slots\":2,\"state\":\"" + state + "\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":5}";
    }

    void mode(Mode value) {
        mode = value;
    }

    /** Sets the limit that all responses name, or an empty string for none. */
    void limit(String value) {
        limit = value;
    }

    /** Sets how long the server works on each request, in milliseconds. */
    void workMillis(long value) {
        workMillis = value;
    }

    /** Headers of the received requests, with lower-case names, and the path under {@code :path}. */
    List<Map<String, String>> requests() {
        return requests;
    }

    /** Whether the server has received an attempt. */
    boolean hasRun(String attempt) {
        return requests.stream().anyMatch(request -> attempt.equals(request.get("x-attempt-id")));
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (Header header : request.getHeaders()) {
            headers.put(header.getName().toLowerCase(Locale.ROOT), header.getValue());
        }
        headers.put(":path", request.getPath());
        EntityUtils.consume(request.getEntity());
        requests.add(headers);
        if (!id.equals(headers.get("x-target-instance"))) {
            response.setCode(421);
            response.setHeader("X-Attempt-Id", headers.getOrDefault("x-attempt-id", ""));
            response.setHeader("X-Not-Executed", "1");
            return;
        }
        LockSupport.parkNanos(workMillis * 1_000_000);
        Mode current = mode;
        if (current == Mode.WRONG_ATTEMPT_ID || current == Mode.REPEATED_REFUSAL) {
            response.setHeader("X-Attempt-Id", "another");
        } else if (current != Mode.REPEATED_REFUSAL_WITHOUT_ID) {
            response.setHeader("X-Attempt-Id", headers.getOrDefault("x-attempt-id", ""));
        }
        if (!limit.isEmpty()) {
            response.setHeader("Server-Limit", limit);
        }
        switch (current) {
            case NOT_EXECUTED, REPEATED_REFUSAL, REPEATED_REFUSAL_WITHOUT_ID -> {
                response.setCode(503);
                response.setHeader("X-Not-Executed", "1");
            }
            case PAUSING -> {
                response.setCode(503);
                response.setHeader("X-Not-Executed", "1");
                response.setHeader("Retry-After", PAUSE_SECONDS);
            }
            case OUTCOME_UNKNOWN -> {
                response.setCode(503);
                response.setHeader("X-Response-Signature", "s");
            }
            case ERROR -> {
                response.setCode(500);
                response.setHeader("X-Response-Signature", "s");
            }
            default -> {
                response.setCode(200);
                if (current == Mode.LEAVING) {
                    response.setHeader("Server-Leaving", "1");
                }
                response.setHeader("X-Response-Signature", "s-" + id);
                response.setEntity(new StringEntity("from " + id));
            }
        }
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }
}
