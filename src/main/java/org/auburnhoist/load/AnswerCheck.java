package org.auburnhoist.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.auburnhoist.emulator.UpstreamServer;

/**
 * Checks that an emulated server's answer is whole and belongs to its own request. The servers echo path and operation
 * id, and the bytes of a download follow from its path.
 */
public final class AnswerCheck {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AnswerCheck() {}

    /** What the check found. */
    public enum Verdict {
        /** Whole, and the answer to this request. */
        WHOLE,
        /** Presented as whole, but a part is missing or damaged. */
        INCOMPLETE,
        /** The answer to another request. */
        CROSSED
    }

    /**
     * Checks an answer with a status of success.
     *
     * @param request what was sent
     * @param operationId the operation id that was sent, or an empty text
     * @param echoedPath header {@code Upstream-Path} of the answer, or an empty text if it is absent
     * @param body the body as received
     */
    public static Verdict check(LoadRequest request, String operationId, String echoedPath, byte[] body) {
        if (!echoedPath.isEmpty() && !echoedPath.equals(request.path())) {
            return Verdict.CROSSED;
        }
        return request.size() >= 0 ? checkDownload(request, body) : checkEcho(request, operationId, body);
    }

    private static Verdict checkDownload(LoadRequest request, byte[] body) {
        int common = (int) Math.min(body.length, request.size());
        for (int index = 0; index < common; index++) {
            if (body[index] != UpstreamServer.downloadByte(request.path(), index)) {
                // A part that is missing in the middle also shifts all later bytes; the path header excludes others.
                return Verdict.CROSSED;
            }
        }
        return body.length == request.size() ? Verdict.WHOLE : Verdict.INCOMPLETE;
    }

    private static Verdict checkEcho(LoadRequest request, String operationId, byte[] body) {
        try {
            JsonNode echo = MAPPER.readTree(body);
            if (!echo.isObject()) {
                return Verdict.INCOMPLETE;
            }
            boolean own = echo.path("path").asText().equals(request.path())
                    && echo.path("method").asText().equals(request.method())
                    && echo.path("operationId").asText().equals(operationId);
            return own ? Verdict.WHOLE : Verdict.CROSSED;
        } catch (IOException malformed) {
            return Verdict.INCOMPLETE;
        }
    }
}
