package org.auburnhoist.gateway;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Event;

/**
 * Reads with one call what a starting host needs: the member entries and the fleet's secret, which the first host
 * creates.
 */
final class FleetBootstrap {
    private static final int SECRET_BYTES = 16;
    /** Hosts of a new fleet spread their first reads over this time, so that one of them creates the secret. */
    private static final long FIRST_START_SPREAD_NANOS = Duration.ofMillis(400).toNanos();
    /**
     * A store that was restored from a copy may lack the secret until a running host has written it again; a host that
     * restarts creates one only after this time.
     */
    private static final long SECRET_WAIT_NANOS = Duration.ofSeconds(3).toNanos();
    /** Hosts that restart together spread their reads over this time, a multiple of the store's response time. */
    private static final long RESTART_SPREAD_NANOS = Duration.ofMillis(40).toNanos();

    private final Store store;
    private final ControlThread control;
    private final RetryDelay retryDelay;
    private final RandomGenerator random;
    private boolean firstStart;
    private boolean secretMissing;
    private long secretMissingSinceNanos;
    private final CompletableFuture<BootstrapState> result = new CompletableFuture<>();

    /**
     * The fleet's secret and its entries in the store.
     *
     * @param secret the secret that the hosts share
     * @param entries all entries of the fleet
     */
    record BootstrapState(String secret, ReadResult.Found entries) {}

    FleetBootstrap(Store store, ControlThread control, RandomGenerator random) {
        this.store = store;
        this.control = control;
        this.random = random;
        this.retryDelay = new RetryDelay(random);
    }

    /**
     * Reads the store, with retries until it succeeds.
     *
     * @param firstStart whether the whole fleet starts for the first time
     * @return completes on the control thread when the secret is known
     */
    CompletableFuture<BootstrapState> load(boolean firstStart) {
        this.firstStart = firstStart;
        long spread = (long) ((firstStart ? FIRST_START_SPREAD_NANOS : RESTART_SPREAD_NANOS) * random.nextDouble());
        control.schedule(Duration.ofNanos(spread), now -> read());
        return result;
    }

    private void read() {
        store.range(GatewayKeys.PREFIX)
                .thenAccept(answer -> control.execute(now -> {
                    if (answer instanceof ReadResult.Found found) {
                        for (Entry entry : found.entries()) {
                            if (entry.key().equals(GatewayKeys.SECRET)) {
                                result.complete(new BootstrapState(
                                        new String(entry.value(), StandardCharsets.US_ASCII), found));
                                return;
                            }
                        }
                        if (mayCreateSecret(now)) {
                            createSecret(found);
                        } else {
                            retry();
                        }
                    } else {
                        Event.named("fleet-not-read").with("result", answer).warn();
                        retry();
                    }
                }));
    }

    private boolean mayCreateSecret(long nowNanos) {
        if (!secretMissing) {
            secretMissing = true;
            secretMissingSinceNanos = nowNanos;
        }
        return firstStart || nowNanos - secretMissingSinceNanos >= SECRET_WAIT_NANOS;
    }

    private void createSecret(ReadResult.Found found) {
        byte[] bytes = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bytes);
        String created = HexFormat.of().formatHex(bytes);
        store.compareAndSwap(GatewayKeys.SECRET, StorePosition.NONE, created.getBytes(StandardCharsets.US_ASCII))
                .thenAccept(answer -> control.execute(now -> {
                    if (answer instanceof WriteResult.Done) {
                        result.complete(new BootstrapState(created, found));
                    } else {
                        retry();
                    }
                }));
    }

    private void retry() {
        control.schedule(Duration.ofNanos(retryDelay.nextNanos()), now -> read());
    }
}
