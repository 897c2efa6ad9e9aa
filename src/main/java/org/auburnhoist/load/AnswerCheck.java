package org.auburnhoist.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.auburnhoist.emulator.UpstreamServer;

/**
 * Checks that the answer of an emulated server is complete and belongs to its request. The servers echo the path and
 * the operation id, and the bytes of a download are a function of its path.
 */
public final class AnswerCheck {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AnswerCheck() {}

    /** The result of a check. */
    public enum Verdict {
        /** Complete, and the answer to this request. */
        COMPLETE,
        /** Framed as complete, but a part is missing or damaged. */
        INCOMPLETE,
        /** The answer to another request. */
        CROSSED
    }

    /**
     * Checks an answer with a success status.
     *
     * @param request the request that was sent
     * @param operationId the operation id that was sent, or an empty string if there was none
     * @param echoedPath header {@code Upstream-Path} of the answer, or an empty string if it is absent
     * @param body the body as received
     */
    public static Verdict check(LoadRequest request, String operationId, String echoedPath, byte[] body) {
        if (!echoedPath.isEmpty() && !echoedPath.equals(request.path())) {
            return Verdict.CROSSED;
        }
        return request.size() >= 0 ? checkDownload(request, body) : checkEcho(request, operationId, body);
    }

    private static Verdict checkDownload(LoadRequest request, byte[] body) {
        int comparedBytes = (int) Math.min(body.length, request.size());
        for (int index = 0; index < comparedBytes; index++) {
            if (body[index] != UpstreamServer.downloadByte(request.path(), index)) {
                // A gap in the middle shifts all later bytes too; a matching path header rules out another answer.
                return Verdict.CROSSED;
            }
        }
        return body.length == request.size() ? Verdict.COMPLETE : Verdict.INCOMPLETE;
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
            return own ? Verdict.COMPLETE : Verdict.CROSSED;
        } catch (IOException malformed) {
            return Verdict.INCOMPLETE;
        }
    }
}
