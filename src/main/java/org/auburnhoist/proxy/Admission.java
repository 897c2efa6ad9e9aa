package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.RecordedResponse;

/** Decision on a request. */
public sealed interface Admission {
    /**
     * The fleet refuses the request.
     *
     * @param refusal the reason
     * @param detail one sentence for the response's body
     * @param retryAfterMillis delay after which the caller should retry, -1 to announce none
     * @param headers additional headers of the response
     */
    record Refused(Refusal refusal, String detail, long retryAfterMillis, List<Map.Entry<String, String>> headers)
            implements Admission {
        /** Copies the headers. */
        public Refused {
            headers = List.copyOf(headers);
        }
    }

    /**
     * The fleet itself sends a complete response, such as the list of addresses or a recorded response.
     *
     * @param answer the complete response
     */
    record Answered(RecordedResponse answer) implements Admission {}

    /**
     * The request is forwarded.
     *
     * @param forwarding chooses the servers and receives the results
     */
    record Forwarded(Forwarding forwarding) implements Admission {}
}
