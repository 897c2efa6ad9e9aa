package org.auburnhoist.host;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import org.auburnhoist.store.Store;
import org.auburnhoist.support.Event;

/**
 * Keeps an entry host running in a process: when the other hosts have removed the current incarnation, for example
 * because they received no messages from it, a new incarnation starts on the same addresses.
 */
public final class HostProcess {
    private static final int MAX_START_ATTEMPTS = 40;
    private static final Duration START_RETRY_DELAY = Duration.ofMillis(250);

    private final HostSettings settings;
    private final Store store;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private EntryHost current;
    private boolean stopping;

    private HostProcess(HostSettings settings, Store store, EntryHost first) {
        this.settings = settings;
        this.store = store;
        this.current = first;
    }

    /**
     * Starts the first incarnation.
     *
     * @param settings the host's settings
     * @param store the platform's store; the caller closes it
     * @throws IOException if an address is not available
     */
    public static HostProcess start(HostSettings settings, Store store) throws IOException {
        HostProcess process = new HostProcess(settings, store, EntryHost.start(settings, store));
        process.registerCallbacks(process.current());
        return process;
    }

    /** The current incarnation. */
    public synchronized EntryHost current() {
        return current;
    }

    /** Starts a graceful shutdown; completes when the host has stopped. */
    public synchronized CompletableFuture<Void> stop() {
        if (!stopping) {
            stopping = true;
            current.stop().whenComplete((done, failure) -> stopped.complete(null));
        }
        return stopped;
    }

    /**
     * Waits until the process has been stopped by {@link #stop}, at an operator's request, or because a new incarnation
     * could not start.
     */
    public void awaitStop() throws InterruptedException {
        try {
            stopped.get();
        } catch (ExecutionException impossible) {
            throw new IllegalStateException("the stop never completes exceptionally", impossible);
        }
    }

    private void registerCallbacks(EntryHost host) {
        host.removed().thenAccept(removed -> restart(host));
        host.leavingRequested().thenRun(this::stop);
    }

    private void restart(EntryHost removed) {
        // The removed incarnation must not be closed on its own control thread.
        Thread thread = new Thread(() -> drainAndReplace(removed), "host-restart");
        thread.setDaemon(true);
        thread.start();
    }

    private void drainAndReplace(EntryHost removed) {
        HostSettings sameAddresses = withAddresses(removed.callerAddress(), removed.peerAddress());
        removed.stopRemoved().join();
        for (int attempt = 1; attempt <= MAX_START_ATTEMPTS; attempt++) {
            if (replace(sameAddresses, attempt == MAX_START_ATTEMPTS)) {
                return;
            }
            LockSupport.parkNanos(START_RETRY_DELAY.toNanos());
        }
    }

    /**
     * Starts a new incarnation and returns whether no further attempt is needed. An attempt can fail because a port may
     * stay occupied for a moment after its socket was closed.
     */
    private synchronized boolean replace(HostSettings sameAddresses, boolean lastAttempt) {
        if (stopping) {
            return true;
        }
        try {
            current = EntryHost.start(sameAddresses, store);
            registerCallbacks(current);
            return true;
        } catch (IOException cause) {
            Event.named("host-restart-failed").with("cause", cause).warn();
            if (lastAttempt) {
                stopping = true;
                stopped.complete(null);
            }
            return lastAttempt;
        }
    }

    private HostSettings withAddresses(InetSocketAddress callers, InetSocketAddress peers) {
        return settings.toBuilder().callerAddress(callers).peerAddress(peers).build();
    }
}
