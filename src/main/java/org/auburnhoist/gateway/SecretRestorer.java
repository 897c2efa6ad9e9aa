package org.auburnhoist.gateway;

import java.nio.charset.StandardCharsets;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.host.ControlScheduler;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Event;

/**
 * Writes the fleet's secret again after the store was restored from a copy that may lack it. Without it, the next host
 * that starts would create another secret, which running hosts do not accept. Confined to the control thread.
 */
final class SecretRestorer {
    private final Store store;
    private final ControlScheduler control;
    private final byte[] secret;
    private long writtenEra;
    private boolean writing;

    /**
     * Creates a restorer.
     *
     * @param store the platform's store
     * @param control runs the results of calls
     * @param secret the fleet's secret
     * @param era era of the store in which the secret was read or written
     */
    SecretRestorer(Store store, ControlScheduler control, String secret, long era) {
        this.store = store;
        this.control = control;
        this.secret = secret.getBytes(StandardCharsets.US_ASCII);
        this.writtenEra = era;
    }

    /** Writes the secret once in each later era, unless the store has it. Must be called after reads of the store. */
    void storeRead(StorePosition position) {
        if (position.era() <= writtenEra || writing) {
            return;
        }
        writing = true;
        store.compareAndSwap(GatewayKeys.SECRET, StorePosition.NONE, secret)
                .thenAccept(result -> control.execute(now -> {
                    writing = false;
                    if (result instanceof WriteResult.Done) {
                        Event.named("secret-restored")
                                .with("position", position)
                                .log();
                        writtenEra = position.era();
                    } else if (result instanceof WriteResult.Conflict) {
                        writtenEra = position.era();
                    } else {
                        Event.named("secret-not-restored")
                                .with("result", result)
                                .warn();
                    }
                }));
    }
}
