package org.auburnhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Reads the host list with one HTTP GET. The response body is a JSON object. If the state of any host is neither
 * {@code live} nor {@code leaving}, the whole list is unavailable; the host is not left out:
 *
 * <pre>{@code
 * {"hosts": [
 *   {"name": "entry-1", "dataCentre": "cairo-a", "state": "live"},
 *   {"name": "entry-2", "dataCentre": "cairo-b", "state": "leaving"}
 * ]}
 * }</pre>
 */
public final class HttpHostList implements HostList {
    /** Maximum size of a list; an entry has less than 200 bytes. */
    private static final long MAX_BODY_BYTES = 4 << 20;

    private final HttpClient client;
    private final URI address;
    private final Duration callLimit;

    /**
     * Creates a client.
     *
     * @param address URL of the list, for example {@code http://127.0.0.1:8500/hosts}
     * @param callLimit timeout of one read
     */
    public HttpHostList(URI address, Duration callLimit) {
        this.address = address;
        this.callLimit = callLimit;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(callLimit)
                .build();
    }

    @Override
    public CompletableFuture<HostListResult> read() {
        HttpRequest request =
                HttpRequest.newBuilder(address).timeout(callLimit).GET().build();
        CompletableFuture<HttpResponse<byte[]>> exchange =
                client.sendAsync(request, BoundedBody.ofByteArray(MAX_BODY_BYTES));
        return exchange.copy()
                .orTimeout(callLimit.toMillis(), TimeUnit.MILLISECONDS)
                .handle((response, failure) -> {
                    if (failure != null) {
                        exchange.cancel(true);
                        return new HostListResult.Unavailable("no response: " + failure);
                    }
                    return parse(response.statusCode(), response.body());
                });
    }

    @Override
    public void close() {
        // The client holds no resources that outlive its pending calls.
    }

    static HostListResult parse(int status, byte[] body) {
        if (status != 200) {
            return new HostListResult.Unavailable("expected status 200, got " + status);
        }
        try {
            JsonNode hosts = EtcdJson.parse(body).path("hosts");
            if (!hosts.isArray()) {
                return new HostListResult.Unavailable("hosts: expected an array, got " + hosts.getNodeType());
            }
            List<ListedHost> listed = new ArrayList<>();
            for (JsonNode host : hosts) {
                listed.add(parseHost(host));
            }
            return new HostListResult.Listed(listed);
        } catch (IOException cause) {
            return new HostListResult.Unavailable("invalid host list: " + cause.getMessage());
        }
    }

    private static ListedHost parseHost(JsonNode host) throws IOException {
        String name = host.path("name").asText();
        if (name.isEmpty()) {
            throw new IOException("name: expected a host name, got " + host);
        }
        HostState state =
                switch (host.path("state").asText()) {
                    case "live" -> HostState.LIVE;
                    case "leaving" -> HostState.LEAVING;
                    default -> throw new IOException("state: expected live or leaving, got " + host);
                };
        return new ListedHost(name, host.path("dataCentre").asText(), state);
    }
}
