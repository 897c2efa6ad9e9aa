package org.auburnhoist.peer;

import java.util.concurrent.CompletionStage;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Message;

/** Answers requests from other hosts. */
public interface PeerRequestHandler {
    /**
     * Answers one request; called on an I/O thread, must not block.
     *
     * @param from the asking host
     * @param request the request
     * @return completes with the answer; exceptional completion closes the link
     */
    CompletionStage<Message> handle(HostId from, Message request);
}
