package org.auburnhoist.platform;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.gateway.GatewayHost;
import org.auburnhoist.support.Closer;

/** A gateway host that runs on the platform. */
public final class PlatformHost implements AutoCloseable {
    private final Closer closer;
    private final GatewayHost host;

    private PlatformHost(Closer closer, GatewayHost host) {
        this.closer = closer;
        this.host = host;
    }

    /**
     * Starts a host.
     *
     * @throws IOException if a listen address is not available
     */
    public static PlatformHost start(BootFile boot) throws IOException {
        Closer closer = new Closer();
        try {
            KvStore store = closer.register(new KvStore(boot.storeAddress()));
            GatewayHost host = closer.register(GatewayHost.start(boot.settings(), new KvBinding(), store));
            return new PlatformHost(closer, host);
        } catch (IOException | RuntimeException cause) {
            closer.close();
            throw cause;
        }
    }

    /** Begins a planned stop; the future completes when the last request has finished. */
    public CompletableFuture<Void> stop() {
        return host.stop();
    }

    @Override
    public void close() {
        closer.close();
    }
}
