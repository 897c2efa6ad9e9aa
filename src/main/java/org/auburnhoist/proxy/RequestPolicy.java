package org.auburnhoist.proxy;

import java.util.concurrent.CompletionStage;

/** Decides what happens to a caller's request; implemented by the host process. */
public interface RequestPolicy {
    /**
     * Called once for each request when its head has been read, on a traffic thread; must not block.
     *
     * @param head the request's head
     * @param nowNanos the present time
     * @return completes with the decision, never exceptionally
     */
    CompletionStage<Admission> admit(RequestHead head, long nowNanos);
}
