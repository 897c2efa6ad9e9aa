package org.auburnhoist.proxy;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.RecordedResponse;

/** Builds the responses to refused requests. */
public final class RefusalResponses {
    private RefusalResponses() {}

    /**
     * Builds the complete response.
     *
     * @param refusal the reason
     * @param detail one sentence for the body
     * @param retryAfterMillis delay after which the caller should retry, -1 to announce none
     * @param rules determine the status and the format of {@code Retry-After}
     * @param headers additional headers
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
