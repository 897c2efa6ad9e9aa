package org.auburnhoist.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.message.RecordedResponse;

/** Keeps a copy of an answer's body up to {@link Forwarding#RECORDED_BODY_LIMIT}. */
final class ResponseRecorder {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private boolean kept = true;

    /** Copies the bytes without consuming them. */
    void add(ByteBuffer data) {
        if (body.size() + data.remaining() > Forwarding.RECORDED_BODY_LIMIT) {
            kept = false;
            body.reset();
        }
        if (kept) {
            byte[] bytes = new byte[data.remaining()];
            data.duplicate().get(bytes);
            body.writeBytes(bytes);
        }
    }

    RecordedResponse complete(int status, List<Map.Entry<String, String>> headers) {
        return new RecordedResponse(status, headers, body.toByteArray(), kept);
    }
}
