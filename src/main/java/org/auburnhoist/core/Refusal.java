package org.auburnhoist.core;

/** Reasons for which the fleet refuses a request itself instead of forwarding an upstream's response. */
public enum Refusal {
    MALFORMED_REQUEST("malformed-request", 400, Outcome.NOT_RUN),
    REQUEST_TOO_LARGE("request-too-large", 413, Outcome.NOT_RUN),
    HEADER_TOO_LARGE("header-too-large", 431, Outcome.NOT_RUN),
    REQUEST_TIMEOUT("request-timeout", 408, Outcome.NOT_RUN),
    KEY_MISSING("key-missing", 401, Outcome.NOT_RUN),
    KEY_UNKNOWN("key-unknown", 401, Outcome.NOT_RUN),
    KEY_WITHDRAWN("key-withdrawn", 401, Outcome.NOT_RUN),
    TEAM_NOT_ALLOWED("team-not-allowed", 403, Outcome.NOT_RUN),
    ROUTE_UNKNOWN("route-unknown", 404, Outcome.NOT_RUN),
    OPERATION_ID_REQUIRED("operation-id-required", 428, Outcome.NOT_RUN),
    OPERATION_ID_INVALID("operation-id-invalid", 400, Outcome.NOT_RUN),
    OPERATION_RUNNING("operation-running", 409, Outcome.UNKNOWN),
    OPERATION_MISMATCH("operation-mismatch", 422, Outcome.NOT_RUN),
    OPERATION_UNKNOWN("operation-unknown", 409, Outcome.UNKNOWN),
    OPERATION_ANSWER_NOT_KEPT("operation-answer-not-kept", 409, Outcome.RUN),
    RATE_EXCEEDED("rate-exceeded", 429, Outcome.NOT_RUN),
    REQUEST_QUARANTINED("request-quarantined", 422, Outcome.NOT_RUN),
    SERVICE_OVERLOADED("service-overloaded", 503, Outcome.NOT_RUN),
    HOST_ISOLATED("host-isolated", 503, Outcome.NOT_RUN),
    HOST_STOPPING("host-stopping", 503, Outcome.NOT_RUN),
    UPSTREAM_UNREACHABLE("upstream-unreachable", 502, Outcome.NOT_RUN),
    UPSTREAM_FAILED("upstream-failed", 502, Outcome.UNKNOWN),
    UPSTREAM_TIMEOUT("upstream-timeout", 504, Outcome.UNKNOWN);

    private final String code;
    private final int status;
    private final Outcome outcome;

    Refusal(String code, int status, Outcome outcome) {
        this.code = code;
        this.status = status;
        this.outcome = outcome;
    }

    /** The stable code in the {@code Auburnhoist-Refusal} header, the access log and the metrics. */
    public String code() {
        return code;
    }

    /** The HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Whether an upstream has run the request, as far as is known. */
    public Outcome outcome() {
        return outcome;
    }

    /** Whether an upstream has run the refused request. */
    public enum Outcome {
        /** No upstream has received any part of the request. */
        NOT_RUN("not-run"),
        /** The request may have run. */
        UNKNOWN("unknown"),
        /** The request has run. */
        RUN("run");

        private final String headerValue;

        Outcome(String headerValue) {
            this.headerValue = headerValue;
        }

        /** The value of the {@code Auburnhoist-Outcome} header. */
        public String headerValue() {
            return headerValue;
        }
    }
}
