package org.auburnhoist.proxy;

import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.auburnhoist.core.Refusal;

/** Placeholder for a request whose head was rejected, so that a regular exchange sends the refusal. */
final class RejectedRequest extends BasicHttpRequest {
    private static final long serialVersionUID = 1L;

    private final Refusal refusal;
    private final String detail;

    RejectedRequest(Refusal refusal, String detail) {
        super("GET", "/");
        this.refusal = refusal;
        this.detail = detail;
    }

    Refusal refusal() {
        return refusal;
    }

    String detail() {
        return detail;
    }
}
