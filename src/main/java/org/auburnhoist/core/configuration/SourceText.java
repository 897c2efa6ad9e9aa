package org.auburnhoist.core.configuration;

import java.util.ArrayList;
import java.util.List;

/** A text that is edited by line and column, counted from 1; all other characters stay as they are. */
final class SourceText {
    private final List<String> lines = new ArrayList<>();
    private final String lineSeparator;

    SourceText(String text) {
        int start = 0;
        while (start < text.length()) {
            int end = text.indexOf('\n', start);
            end = end < 0 ? text.length() : end + 1;
            lines.add(text.substring(start, end));
            start = end;
        }
        lineSeparator = !lines.isEmpty() && lines.get(0).endsWith("\r\n") ? "\r\n" : "\n";
    }

    int lineCount() {
        return lines.size();
    }

    /** Returns the line after the last line of a section that is neither blank nor a comment. */
    int lineAfterSection(YamlNode start, int nextSection) {
        int line = Math.min(nextSection, lines.size() + 1);
        while (line - 1 > start.line() && isBlankOrComment(lines.get(line - 2))) {
            line--;
        }
        return line;
    }

    /** Returns the text with lines inserted before the given line, or appended at the end. */
    String insertLines(int line, List<String> added) {
        StringBuilder text = new StringBuilder();
        int index = Math.min(line - 1, lines.size());
        lines.subList(0, index).forEach(text::append);
        boolean unterminated = text.length() > 0 && text.charAt(text.length() - 1) != '\n';
        for (String addedLine : added) {
            text.append(unterminated ? lineSeparator : "").append(addedLine).append(unterminated ? "" : lineSeparator);
        }
        lines.subList(index, lines.size()).forEach(text::append);
        return text.toString();
    }

    boolean startsWith(int line, int column, String expected) {
        return lines.get(line - 1).startsWith(expected, offset(line, column));
    }

    /** Returns the text with the expected characters replaced, or the same text if they are not at this position. */
    String replace(int line, int column, String expected, String replacement) {
        List<String> edited = new ArrayList<>(lines);
        if (startsWith(line, column, expected)) {
            String old = lines.get(line - 1);
            int offset = offset(line, column);
            edited.set(line - 1, old.substring(0, offset) + replacement + old.substring(offset + expected.length()));
        }
        return String.join("", edited);
    }

    /** Columns count code points. */
    private int offset(int line, int column) {
        String text = lines.get(line - 1);
        int points = Math.min(column - 1, text.codePointCount(0, text.length()));
        return text.offsetByCodePoints(0, points);
    }

    private static boolean isBlankOrComment(String line) {
        String content = line.strip();
        return content.isEmpty() || content.startsWith("#");
    }
}
