package org.auburnhoist.core.operation;

import io.vavr.control.Either;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.auburnhoist.core.HostId;

/**
 * Identifies one non-idempotent operation and the host incarnation that issued the id. Only this incarnation, or a
 * successor to which it handed its records over, may grant the right to run the operation.
 *
 * <p>The text form is {@code <host name>.<incarnation>.<seconds>.<random>}, with the incarnation as 16, the seconds as
 * 8 and the random bits as 24 hexadecimal digits. Each id has exactly one accepted text form.
 *
 * @param issuer the host incarnation that issued the id
 * @param issuedSeconds time of issue, in seconds since the issuer's start on its own clock
 * @param randomHigh the first 64 random bits
 * @param randomLow the last 32 random bits
 */
public record OperationId(HostId issuer, long issuedSeconds, long randomHigh, int randomLow) {
    /** Maximum length of a host name, in characters. */
    public static final int MAX_NAME_LENGTH = 64;

    /** Maximum length of the text form, in characters. */
    public static final int MAX_LENGTH = MAX_NAME_LENGTH + 51;

    private static final long MAX_SECONDS = 0xffff_ffffL;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern TEXT = Pattern.compile(
            "([A-Za-z0-9][A-Za-z0-9._-]{0,63})\\.([0-9a-f]{16})\\.([0-9a-f]{8})\\.([0-9a-f]{16})([0-9a-f]{8})");

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the host name or the seconds have no text form
     */
    public OperationId {
        if (!NAME.matcher(issuer.name()).matches()) {
            throw new IllegalArgumentException("issuer: host name '" + issuer.name() + "', expected " + NAME.pattern());
        }
        if (issuedSeconds < 0 || issuedSeconds > MAX_SECONDS) {
            throw new IllegalArgumentException("issuedSeconds: " + issuedSeconds + ", expected 0 to " + MAX_SECONDS);
        }
    }

    /** Returns the text form, which the {@code Operation-Id} header carries. */
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

    /** Parses a text form that was received from a caller. */
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
        HostId issuer = new HostId(matcher.group(1), Long.parseUnsignedLong(matcher.group(2), 16));
        return Either.right(new OperationId(
                issuer,
                Long.parseLong(matcher.group(3), 16),
                Long.parseUnsignedLong(matcher.group(4), 16),
                Integer.parseUnsignedInt(matcher.group(5), 16)));
    }

    @Override
    public String toString() {
        return encode();
    }

    /** The reason why a text is not a valid operation id. */
    public enum Problem {
        EMPTY,
        TOO_LONG,
        MALFORMED
    }
}
