package org.auburnhoist.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.message.RecordedResponse;

/** Records a copy of a response's body of up to {@link Forwarding#RECORDED_BODY_LIMIT} bytes. */
final class ResponseRecorder {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private boolean withinLimit = true;

    /** Copies the bytes without consuming them. */
    void add(ByteBuffer data) {
        if (body.size() + data.remaining() > Forwarding.RECORDED_BODY_LIMIT) {
            withinLimit = false;
            body.reset();
        }
        if (withinLimit) {
            byte[] bytes = new byte[data.remaining()];
            data.duplicate().get(bytes);
            body.writeBytes(bytes);
        }
    }

    RecordedResponse toRecordedAnswer(int status, List<Map.Entry<String, String>> headers) {
        return new RecordedResponse(status, headers, body.toByteArray(), withinLimit);
    }
}
