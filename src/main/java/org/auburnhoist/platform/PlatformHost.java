package org.auburnhoist.platform;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.gateway.GatewayHost;
import org.auburnhoist.support.Closer;
import org.auburnhoist.support.Supervisor;

/** A gateway host that runs on the platform. */
public final class PlatformHost implements AutoCloseable {
    private final Closer closer;
    private final GatewayHost host;

    private PlatformHost(Closer closer, GatewayHost host) {
        this.closer = closer;
        this.host = host;
    }

    /**
     * Starts a host whose parts nobody checks.
     *
     * @throws IOException if a listen address is not available
     */
    public static PlatformHost start(BootFile boot) throws IOException {
        return start(boot, Supervisor.withoutChecks());
    }

    /**
     * Starts a host.
     *
     * @param supervisor receives the progress of the host's parts; it is closed with the host
     * @throws IOException if a listen address is not available
     */
    public static PlatformHost start(BootFile boot, Supervisor supervisor) throws IOException {
        Closer closer = new Closer();
        try {
            KvStore store = closer.register(new KvStore(boot.storeAddress(), supervisor));
            GatewayHost host = closer.register(GatewayHost.start(boot.settings(), new KvBinding(), store, supervisor));
            // Closed first, since the planned end of the other parts is no fault.
            closer.register(supervisor);
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
