package org.auburnhoist.core.message;

import java.util.List;
import java.util.Map;

/**
 * An upstream's answer to a non-idempotent request, kept for callers that send the request again.
 *
 * @param status HTTP status
 * @param headers header names and values in the order received
 * @param body the body, empty if it was not kept
 * @param bodyKept whether the complete body was kept
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedResponse(int status, List<Map.Entry<String, String>> headers, byte[] body, boolean bodyKept) {

    /** Copies the headers. */
    public RecordedResponse {
        headers = List.copyOf(headers);
    }
}
