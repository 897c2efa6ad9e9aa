package org.auburnhoist.core.configuration;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Normalises request paths, so that equivalent paths become equal strings.
 *
 * <p>Percent-encoded unreserved characters are decoded, and the digits of other escapes are converted to upper case. A
 * path that an upstream could interpret differently is refused: empty, {@code .} and {@code ..} segments, path
 * parameters ({@code ;}), backslashes, escaped slashes, backslashes, semicolons and control characters, double escapes,
 * and escapes that are not UTF-8. No encoding of a path can therefore bypass the route that is declared for it.
 */
public final class RequestPath {
    private static final int MAX_LENGTH = 8_192;
    private static final String ALLOWED_UNESCAPED = "!$&'()*+,=:@";

    private final String raw;
    private final StringBuilder normalised = new StringBuilder();
    private byte[] decoded = new byte[64];
    private int decodedLength;
    private int position;

    private RequestPath(String raw) {
        this.raw = raw;
    }

    /**
     * Normalises the path of a request target, without its query.
     *
     * @return the normalised path, or the reason why the path is refused
     */
    public static Either<String, String> normalise(String raw) {
        if (!raw.startsWith("/")) {
            return Either.left("the path does not start with /");
        }
        if (raw.length() > MAX_LENGTH) {
            return Either.left("the path is longer than " + MAX_LENGTH + " characters");
        }
        RequestPath path = new RequestPath(raw);
        try {
            path.readSegments();
            return Either.right(path.normalised.toString());
        } catch (Refused refused) {
            return Either.left(refused.reason);
        }
    }

    private void readSegments() {
        while (position < raw.length()) {
            position++; // the slash
            normalised.append('/');
            readSegment();
        }
    }

    private void readSegment() {
        int start = normalised.length();
        decodedLength = 0;
        while (position < raw.length() && raw.charAt(position) != '/') {
            readCharacter();
        }
        String segment = normalised.substring(start);
        if (segment.equals(".") || segment.equals("..")) {
            throw new Refused("the path has a dot segment");
        }
        if (segment.isEmpty() && position < raw.length()) {
            throw new Refused("the path has an empty segment");
        }
        requireUtf8();
    }

    private void readCharacter() {
        char character = raw.charAt(position);
        if (character == '%') {
            readEscape();
        } else if (isUnreserved(character) || ALLOWED_UNESCAPED.indexOf(character) >= 0) {
            normalised.append(character);
            appendDecoded((byte) character);
            position++;
        } else {
            throw new Refused("the path has the character U+" + String.format("%04X", (int) character)
                    + " unescaped, or a path parameter");
        }
    }

    private void readEscape() {
        int octet = octetAt(position);
        if (octet < ' ' || octet == 0x7f || octet == '/' || octet == '\\' || octet == ';') {
            throw new Refused("the path escapes a slash, backslash, semicolon or control character");
        }
        if (octet == '%' && isHex(position + 3) && isHex(position + 4)) {
            throw new Refused("the path escapes an escape");
        }
        if (octet < 0x80 && isUnreserved((char) octet)) {
            normalised.append((char) octet);
        } else {
            normalised.append(String.format("%%%02X", octet));
        }
        appendDecoded((byte) octet);
        position += 3;
    }

    private int octetAt(int index) {
        if (!isHex(index + 1) || !isHex(index + 2)) {
            throw new Refused("the path has a % without two hexadecimal digits");
        }
        return Integer.parseInt(raw.substring(index + 1, index + 3), 16);
    }

    private boolean isHex(int index) {
        return index < raw.length() && "0123456789abcdefABCDEF".indexOf(raw.charAt(index)) >= 0;
    }

    private static boolean isUnreserved(char character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || "-._~".indexOf(character) >= 0;
    }

    private void appendDecoded(byte octet) {
        if (decodedLength == decoded.length) {
            decoded = Arrays.copyOf(decoded, 2 * decodedLength);
        }
        decoded[decodedLength++] = octet;
    }

    /** Refuses invalid UTF-8, because some decoders accept overlong encodings of slashes and dots. */
    private void requireUtf8() {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(decoded, 0, decodedLength));
        } catch (CharacterCodingException invalid) {
            throw new Refused("the path has escapes that are not UTF-8");
        }
    }

    /** Aborts normalisation with the reason why the path is refused. */
    private static final class Refused extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final String reason;

        Refused(String reason) {
            super(reason, null, false, false);
            this.reason = reason;
        }
    }
}
