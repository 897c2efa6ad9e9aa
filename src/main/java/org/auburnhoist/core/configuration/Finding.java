package org.auburnhoist.core.configuration;

/**
 * An error in a configuration and its location.
 *
 * @param file name of the file
 * @param line line of the error, counted from 1; 0 if the error concerns the file as a whole
 * @param column column of the error, counted from 1; 0 if the error concerns the file as a whole
 * @param path path in the document, such as {@code teams.cairo-schools.burst}; empty for the whole document
 * @param expected what the reader accepts at this location
 * @param found what the file contains there; never a key's secret or hash
 */
public record Finding(String file, int line, int column, String path, String expected, String found) {

    /** Formats one line for an operator: {@code teams.yaml:4:12: teams.a.burst: expected ..., found ...}. */
    public String describe() {
        StringBuilder text = new StringBuilder(file);
        if (line > 0) {
            text.append(':').append(line).append(':').append(column);
        }
        text.append(": ");
        if (!path.isEmpty()) {
            text.append(path).append(": ");
        }
        return text.append("expected ")
                .append(expected)
                .append(", found ")
                .append(found)
                .toString();
    }
}
