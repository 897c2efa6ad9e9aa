package org.auburnhoist.core.configuration;

/**
 * One fault of a configuration, with its place.
 *
 * @param file name of the file
 * @param line line of the fault, counted from 1; 0 if the fault concerns the file as a whole
 * @param column column of the fault, counted from 1; 0 if the fault concerns the file as a whole
 * @param path place in the document, such as {@code teams.cairo-schools.burst}; empty for the whole document
 * @param expected what the reader accepts at this place
 * @param found what stands there; never a key's secret or hash
 */
public record Finding(String file, int line, int column, String path, String expected, String found) {

    /** One line for an operator: {@code teams.yaml:4:12: teams.a.burst: expected ..., found ...}. */
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
