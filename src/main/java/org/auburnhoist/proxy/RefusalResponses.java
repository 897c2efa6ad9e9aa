package org.auburnhoist.proxy;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.RecordedResponse;

/** Turns a refusal into an answer. */
public final class RefusalResponses {
    private RefusalResponses() {}

    /**
     * Builds the complete answer.
     *
     * @param refusal the reason
     * @param detail one sentence for the body
     * @param retryAfterMillis when the caller should come back, -1 for no advice
     * @param rules decide the status and the form of {@code Retry-After}
     * @param headers further headers
     */
    public static RecordedResponse build(
            Refusal refusal,
            String detail,
            long retryAfterMillis,
            WireRules rules,
            List<Map.Entry<String, String>> headers) {
        List<Map.Entry<String, String>> all = new ArrayList<>();
        all.add(Map.entry("Content-Type", "application/json"));
        all.add(Map.entry("Auburnhoist-Refusal", refusal.code()));
        all.add(Map.entry("Auburnhoist-Outcome", refusal.outcome().headerValue()));
        StringBuilder body = new StringBuilder(160)
                .append("{\"refusal\":\"")
                .append(refusal.code())
                .append("\",\"outcome\":\"")
                .append(refusal.outcome().headerValue())
                .append('"');
        if (retryAfterMillis >= 0) {
            all.add(Map.entry("Retry-After", rules.retryAfter(retryAfterMillis)));
            body.append(",\"retryAfterMillis\":").append(retryAfterMillis);
        }
        all.addAll(headers);
        body.append(",\"detail\":\"");
        JsonStringEncoder.getInstance().quoteAsString(detail, body);
        body.append("\"}\n");
        return new RecordedResponse(rules.status(refusal), all, body.toString().getBytes(StandardCharsets.UTF_8), true);
    }
}
