package org.auburnhoist.peer;

import java.util.concurrent.CompletionStage;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Message;

/** Answers requests from other hosts. */
public interface PeerRequestHandler {
    /**
     * Answers one request. Called on an I/O thread, so it must not block.
     *
     * @param from the authenticated host that sent the request
     * @param request the request
     * @return completes with the answer; the link is closed if it completes exceptionally
     */
    CompletionStage<Message> handle(HostId from, Message request);
}
