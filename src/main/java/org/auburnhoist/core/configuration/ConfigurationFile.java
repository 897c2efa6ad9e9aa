package org.auburnhoist.core.configuration;

import java.nio.charset.StandardCharsets;

/**
 * A named configuration file.
 *
 * @param name base name, such as {@code teams.yaml}
 * @param content the bytes of the file
 */
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationFile(String name, byte[] content) {
    /** Creates a file from a text, encoded in UTF-8. */
    public static ConfigurationFile of(String name, String text) {
        return new ConfigurationFile(name, text.getBytes(StandardCharsets.UTF_8));
    }
}
