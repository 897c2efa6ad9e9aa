package org.auburnhoist.proxy;

import org.apache.hc.core5.http.HttpException;
import org.auburnhoist.core.Refusal;

/** Thrown when a message head cannot be accepted. */
final class MalformedHeadException extends HttpException {
    private static final long serialVersionUID = 1L;

    private final Refusal refusal;

    MalformedHeadException(String message) {
        this(Refusal.MALFORMED_REQUEST, message);
    }

    private MalformedHeadException(Refusal refusal, String message) {
        super(message);
        this.refusal = refusal;
    }

    static MalformedHeadException tooLarge(String message) {
        return new MalformedHeadException(Refusal.HEADER_TOO_LARGE, message);
    }

    Refusal refusal() {
        return refusal;
    }

    String detail() {
        String message = getMessage();
        return message == null ? "" : message;
    }
}
