package org.auburnhoist.core.operation;

import io.vavr.control.Either;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.auburnhoist.core.HostId;

/**
 * Names one non-idempotent operation and the only host run that may grant the right to run it.
 *
 * <p>The text form is {@code <host name>.<incarnation>.<seconds>.<random>}, with the incarnation as 16, the seconds as
 * 8 and the random bits as 24 hexadecimal digits. Each id has exactly one accepted text form.
 *
 * @param issuer the issuing host run
 * @param issuedSeconds time of issue, in seconds since the home's start on its own clock
 * @param randomHigh first 64 random bits
 * @param randomLow last 32 random bits
 */
public record OperationId(HostId issuer, long issuedSeconds, long randomHigh, int randomLow) {
    /** Longest host name, in characters. */
    public static final int MAX_NAME_LENGTH = 64;

    /** Longest text form, in characters. */
    public static final int MAX_LENGTH = MAX_NAME_LENGTH + 51;

    private static final long MAX_SECONDS = 0xffff_ffffL;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern TEXT = Pattern.compile(
            "([A-Za-z0-9][A-Za-z0-9._-]{0,63})\\.([0-9a-f]{16})\\.([0-9a-f]{8})\\.([0-9a-f]{16})([0-9a-f]{8})");

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if the host name or the seconds have no text form
     */
    public OperationId {
        if (!NAME.matcher(issuer.name()).matches()) {
            throw new IllegalArgumentException("home: host name '" + issuer.name() + "', expected " + NAME.pattern());
        }
        if (issuedSeconds < 0 || issuedSeconds > MAX_SECONDS) {
            throw new IllegalArgumentException("issuedSeconds: " + issuedSeconds + ", expected 0 to " + MAX_SECONDS);
        }
    }

    /** The text form, for the {@code Operation-Id} header. */
    public String encode() {
        return String.format(
                Locale.ROOT,
                "%s.%016x.%08x.%016x%08x",
                issuer.name(),
                issuer.incarnation(),
                issuedSeconds,
                randomHigh,
                randomLow);
    }

    /** Reads a text form that came from a caller. */
    public static Either<Problem, OperationId> parse(String text) {
        if (text.isEmpty()) {
            return Either.left(Problem.EMPTY);
        }
        if (text.length() > MAX_LENGTH) {
            return Either.left(Problem.TOO_LONG);
        }
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Either.left(Problem.MALFORMED);
        }
        HostId home = new HostId(matcher.group(1), Long.parseUnsignedLong(matcher.group(2), 16));
        return Either.right(new OperationId(
                home,
                Long.parseLong(matcher.group(3), 16),
                Long.parseUnsignedLong(matcher.group(4), 16),
                Integer.parseUnsignedInt(matcher.group(5), 16)));
    }

    @Override
    public String toString() {
        return encode();
    }

    /** Why a text is not an operation id. */
    public enum Problem {
        EMPTY,
        TOO_LONG,
        MALFORMED
    }
}
