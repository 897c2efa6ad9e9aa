package org.auburnhoist.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/** SHA-256 in the lower-case hexadecimal form of configuration files and heads. */
public final class Sha256 {
    private static final Pattern FORM = Pattern.compile("[0-9a-f]{64}");

    private Sha256() {}

    /** The digest's 32 bytes. */
    public static byte[] digest(byte[] content) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(content);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("SHA-256: expected on every Java platform", impossible);
        }
    }

    /** The digest in hexadecimal. */
    public static String hex(byte[] content) {
        return HexFormat.of().formatHex(digest(content));
    }

    /** The digest of a text's UTF-8 form in hexadecimal. */
    public static String hex(String text) {
        return hex(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Whether a text is a digest in lower-case hexadecimal. */
    public static boolean isHexDigest(String text) {
        return FORM.matcher(text).matches();
    }
}
