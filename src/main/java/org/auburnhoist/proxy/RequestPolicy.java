package org.auburnhoist.proxy;

import java.util.concurrent.CompletionStage;

/** Decides how a caller's request is handled; implemented by the host process. */
public interface RequestPolicy {
    /**
     * Called once for each request, on an I/O thread, after its head has been read; must not block.
     *
     * @param head the request's head
     * @param nowNanos the current time in nanoseconds
     * @return a stage that completes with the decision, never exceptionally
     */
    CompletionStage<Admission> admit(RequestHead head, long nowNanos);
}
