package org.auburnhoist.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;

/** A stand-in of a server behind the platform, with the platform's headers. */
final class StandInServer implements AutoCloseable {
    /** How the server answers. */
    enum Mode {
        WELL,
        /** Fails at once; counts as run. */
        ERROR,
        /** States that it did not run the request. */
        SHED,
        /** Turns requests away and wants none for the pause. */
        PAUSING,
        /** Answers well and says that it leaves; its registration says nothing of it. */
        LEAVING,
        /** Answers with 503 but does not say whether the request ran. */
        UNCLEAR,
        /** Answers with the id of another attempt. */
        CROSSED
    }

    static final int PAUSE_SECONDS = 3;

    private final String id;
    private final HttpServer server;
    private final List<Map<String, String>> seen = new CopyOnWriteArrayList<>();
    private volatile Mode mode = Mode.WELL;

    StandInServer(String id) throws IOException {
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

    /** Headers of the requests that came, with lower-case names, and the path under {@code :path}. */
    List<Map<String, String>> seen() {
        return seen;
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (Header header : request.getHeaders()) {
            headers.put(header.getName().toLowerCase(Locale.ROOT), header.getValue());
        }
        headers.put(":path", request.getPath());
        EntityUtils.consume(request.getEntity());
        seen.add(headers);
        if (!id.equals(headers.get("x-target-instance"))) {
            response.setCode(421);
            return;
        }
        Mode present = mode;
        String attempt = present == Mode.CROSSED ? "another" : headers.getOrDefault("x-attempt-id", "");
        response.setHeader("X-Attempt-Id", attempt);
        switch (present) {
            case SHED -> {
                response.setCode(503);
                response.setHeader("X-Not-Executed", "1");
            }
            case PAUSING -> {
                response.setCode(503);
                response.setHeader("X-Not-Executed", "1");
                response.setHeader("Retry-After", PAUSE_SECONDS);
            }
            case UNCLEAR -> {
                response.setCode(503);
                response.setHeader("X-Response-Signature", "s");
            }
            case ERROR -> {
                response.setCode(500);
                response.setHeader("X-Response-Signature", "s");
            }
            default -> {
                response.setCode(200);
                if (present == Mode.LEAVING) {
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
