package org.auburnhoist.gateway;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Event;

/** Finds the secret that the fleet's hosts share in the store, or creates it. */
final class FleetSecret {
    private static final int SECRET_BYTES = 16;
    /** Hosts that start together spread their first reads over this time, so that one of them creates the secret. */
    private static final long START_SPREAD_NANOS = Duration.ofMillis(400).toNanos();

    private final Store store;
    private final ControlThread control;
    private final RetryDelay delay;
    private final RandomGenerator random;
    private final CompletableFuture<String> secret = new CompletableFuture<>();

    FleetSecret(Store store, ControlThread control, RandomGenerator random) {
        this.store = store;
        this.control = control;
        this.random = random;
        this.delay = new RetryDelay(random);
    }

    /** Completes on the control thread when the secret is known. */
    CompletableFuture<String> find() {
        long spread = (long) (START_SPREAD_NANOS * random.nextDouble());
        control.after(Duration.ofNanos(spread), now -> read());
        return secret;
    }

    private void read() {
        store.get(GatewayKeys.SECRET)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof ReadResult.Found found) {
                        if (found.entries().isEmpty()) {
                            create();
                        } else {
                            Entry entry = found.entries().get(0);
                            secret.complete(new String(entry.value(), StandardCharsets.US_ASCII));
                        }
                    } else {
                        Event.named("secret-not-read").with("result", result).warn();
                        again();
                    }
                }));
    }

    private void create() {
        byte[] bytes = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bytes);
        String created = HexFormat.of().formatHex(bytes);
        store.compareAndSwap(GatewayKeys.SECRET, 0, created.getBytes(StandardCharsets.US_ASCII))
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof WriteResult.Done) {
                        secret.complete(created);
                    } else {
                        again();
                    }
                }));
    }

    private void again() {
        control.after(Duration.ofNanos(delay.nextNanos()), now -> read());
    }
}
