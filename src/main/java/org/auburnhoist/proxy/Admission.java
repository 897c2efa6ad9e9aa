package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.RecordedResponse;

/** What happens to a request. */
public sealed interface Admission {
    /**
     * The fleet answers with a refusal.
     *
     * @param refusal the reason
     * @param detail one sentence for the answer's body
     * @param retryAfterMillis when the caller should come back, -1 for no advice
     * @param headers further headers of the answer
     */
    record Refused(Refusal refusal, String detail, long retryAfterMillis, List<Map.Entry<String, String>> headers)
            implements Admission {
        /** Copies the headers. */
        public Refused {
            headers = List.copyOf(headers);
        }
    }

    /**
     * The fleet answers by itself with a complete answer, such as the address answer or a recorded one.
     *
     * @param answer the answer
     */
    record Answered(RecordedResponse answer) implements Admission {}

    /**
     * The request is forwarded.
     *
     * @param forwarding supplies servers and is told what happens
     */
    record Forwarded(Forwarding forwarding) implements Admission {}
}
