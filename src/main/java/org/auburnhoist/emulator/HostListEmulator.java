package org.auburnhoist.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.auburnhoist.store.HostList.ListedHost;

/**
 * Emulates the platform's host list: serves the list over HTTP as it was a configurable time ago.
 *
 * <pre>{@code
 * HostListEmulator emulator = HostListEmulator.start(System::nanoTime);
 * emulator.setLag(Duration.ofSeconds(30));
 * emulator.publish(hosts);
 * HostList list = new HttpHostList(emulator.address(), Duration.ofSeconds(1));
 * }</pre>
 */
public final class HostListEmulator implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LongSupplier clock;
    private final LoopbackServer server;
    private final Deque<Version> versions = new ArrayDeque<>();
    private Duration lag = Duration.ZERO;
    private boolean failing;

    private HostListEmulator(LongSupplier clock) throws IOException {
        this.clock = clock;
        versions.add(new Version(Long.MIN_VALUE / 2, List.of()));
        this.server = new LoopbackServer(0, this::handle);
    }

    /** Starts with an empty list on a free port; the clock is in nanoseconds. */
    public static HostListEmulator start(LongSupplier clock) throws IOException {
        return new HostListEmulator(clock);
    }

    /** Address at which the list is read. */
    public URI address() {
        return server.address().resolve("/hosts");
    }

    /** Sets how far the served list lags behind the published one. */
    public synchronized void setLag(Duration newLag) {
        lag = newLag;
    }

    /** Publishes a new list; readers see it after the lag. */
    public synchronized void publish(List<ListedHost> hosts) {
        versions.addLast(new Version(clock.getAsLong(), List.copyOf(hosts)));
    }

    /** Sets whether reads fail with status 503. */
    public synchronized void setFailing(boolean fail) {
        failing = fail;
    }

    /** Refuses connections until {@link #acceptConnections}. */
    public void refuseConnections() {
        server.refuseConnections();
    }

    /** Accepts connections again, at the same address. */
    public void acceptConnections() throws IOException {
        server.acceptConnections();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        if (failing) {
            response.setCode(503);
            return;
        }
        response.setCode(200);
        response.setEntity(new ByteArrayEntity(
                MAPPER.writeValueAsBytes(servedListJson(clock.getAsLong())), ContentType.APPLICATION_JSON));
    }

    private ObjectNode servedListJson(long nowNanos) {
        Version served = versions.getFirst();
        for (Version version : versions) {
            if (nowNanos - version.publishedNanos() >= lag.toNanos()) {
                served = version;
            }
        }
        ObjectNode list = MAPPER.createObjectNode();
        ArrayNode hosts = list.putArray("hosts");
        for (ListedHost host : served.hosts()) {
            hosts.addObject()
                    .put("name", host.name())
                    .put("dataCentre", host.dataCentre())
                    .put("state", host.state().name().toLowerCase(Locale.ROOT));
        }
        return list;
    }

    private record Version(long publishedNanos, List<ListedHost> hosts) {}
}
