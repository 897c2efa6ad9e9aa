package org.auburnhoist.proxy;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.reactor.ConnectionInitiator;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.auburnhoist.support.WatchedPart;

/**
 * Makes a reactor with one thread report its progress when it is asked.
 *
 * <p>HttpCore runs no tasks on its threads. A request for a connection to an address that can't be valid is read by the
 * reactor's thread like any other, also if no descriptor is free, and fails there without a call to the network.
 */
public final class ReactorProbe {
    private static final HttpHost TARGET = new HttpHost("http", "invalid.", 1);
    private static final SocketAddress UNRESOLVED = InetSocketAddress.createUnresolved("invalid.", 1);

    private final WatchedPart part;
    private final AtomicBoolean pending = new AtomicBoolean();
    private final FutureCallback<IOSession> callback = new FutureCallback<>() {
        @Override
        public void completed(IOSession session) {
            session.close();
            answered();
        }

        @Override
        public void failed(Exception cause) {
            answered();
        }

        @Override
        public void cancelled() {
            // The reactor is closing, which is no progress.
            pending.set(false);
        }
    };

    /** Creates a probe that reports for a part. */
    public ReactorProbe(WatchedPart part) {
        this.part = part;
    }

    /** Asks a reactor to report, unless it has not answered the question before. */
    public void ask(ConnectionInitiator reactor) {
        if (!pending.compareAndSet(false, true)) {
            return;
        }
        try {
            Future<IOSession> unused = reactor.connect(TARGET, UNRESOLVED, null, Timeout.ofSeconds(1), null, callback);
        } catch (IOReactorShutdownException closed) {
            // The part makes no progress, and the supervisor finds that out.
            pending.set(false);
        }
    }

    private void answered() {
        pending.set(false);
        part.progressed();
    }
}
