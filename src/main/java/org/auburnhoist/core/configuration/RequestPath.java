package org.auburnhoist.core.configuration;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Brings request paths to one form, in which equal resources have equal texts.
 *
 * <p>Escapes of unreserved characters are decoded and other escapes get upper-case digits. A path that an upstream
 * could read in another way than this class does is refused: empty, {@code .} and {@code ..} segments, path parameters
 * ({@code ;}), backslashes, escaped slashes, backslashes, semicolons and control characters, escapes of escapes, and
 * escapes that are not UTF-8. So no spelling of a path reaches a route other than the one that is declared for it.
 */
public final class RequestPath {
    private static final int MAXIMUM_LENGTH = 8_192;
    private static final String UNESCAPED = "!$&'()*+,=:@";

    private final String raw;
    private final StringBuilder normal = new StringBuilder();
    private byte[] decoded = new byte[64];
    private int decodedLength;
    private int position;

    private RequestPath(String raw) {
        this.raw = raw;
    }

    /**
     * Normalises the path of a request target, without its query.
     *
     * @return the normal form, or the reason why the path is refused
     */
    public static Either<String, String> normalise(String raw) {
        if (!raw.startsWith("/")) {
            return Either.left("the path does not start with /");
        }
        if (raw.length() > MAXIMUM_LENGTH) {
            return Either.left("the path is longer than " + MAXIMUM_LENGTH + " characters");
        }
        RequestPath path = new RequestPath(raw);
        try {
            path.readSegments();
            return Either.right(path.normal.toString());
        } catch (Refused refused) {
            return Either.left(refused.reason);
        }
    }

    private void readSegments() {
        while (position < raw.length()) {
            position++; // the slash
            normal.append('/');
            readSegment();
        }
    }

    private void readSegment() {
        int start = normal.length();
        decodedLength = 0;
        while (position < raw.length() && raw.charAt(position) != '/') {
            readCharacter();
        }
        String segment = normal.substring(start);
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
        } else if (isUnreserved(character) || UNESCAPED.indexOf(character) >= 0) {
            normal.append(character);
            keepDecoded((byte) character);
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
            normal.append((char) octet);
        } else {
            normal.append(String.format("%%%02X", octet));
        }
        keepDecoded((byte) octet);
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

    private void keepDecoded(byte octet) {
        if (decodedLength == decoded.length) {
            decoded = Arrays.copyOf(decoded, 2 * decodedLength);
        }
        decoded[decodedLength++] = octet;
    }

    /** Overlong UTF-8 forms of slashes and dots are invalid, and some decoders accept them. */
    private void requireUtf8() {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(decoded, 0, decodedLength));
        } catch (CharacterCodingException invalid) {
            throw new Refused("the path has escapes that are not UTF-8");
        }
    }

    /** Leaves the reader with a reason. */
    private static final class Refused extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final String reason;

        Refused(String reason) {
            super(reason, null, false, false);
            this.reason = reason;
        }
    }
}
