package org.auburnhoist.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/** SHA-256 in the lower-case hexadecimal form of configuration files and heads. */
public final class Sha256 {
    private static final Pattern HEX_DIGEST = Pattern.compile("[0-9a-f]{64}");

    private Sha256() {}

    /** Returns the 32 bytes of the digest. */
    public static byte[] digest(byte[] content) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(content);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("SHA-256: expected on every Java platform", impossible);
        }
    }

    /** Returns the digest in hexadecimal. */
    public static String hex(byte[] content) {
        return HexFormat.of().formatHex(digest(content));
    }

    /** Returns the digest of a text, encoded in UTF-8, in hexadecimal. */
    public static String hex(String text) {
        return hex(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Whether a text is a digest in lower-case hexadecimal. */
    public static boolean isHexDigest(String text) {
        return HEX_DIGEST.matcher(text).matches();
    }
}
