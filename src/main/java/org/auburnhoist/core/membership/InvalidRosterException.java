package org.auburnhoist.core.membership;

/** Reports a problem from the nested decoding methods; never propagates out of {@link RosterCodec}. */
final class InvalidRosterException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient RosterProblem problem;

    InvalidRosterException(String place, String message) {
        super(place + " " + message);
        this.problem = new RosterProblem(place, message);
    }

    InvalidRosterException(String place, String message, Throwable cause) {
        super(place + " " + message, cause);
        this.problem = new RosterProblem(place, message);
    }

    RosterProblem problem() {
        return problem;
    }
}
