package org.auburnhoist.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects findings, so that an operator sees all of them at once. */
final class FindingCollector {
    /** Maximum number of findings; further ones are dropped, because these are enough work for one report. */
    static final int MAX_FINDINGS = 1_000;

    /** Maximum length of the excerpt of a file that a finding shows, in characters. */
    private static final int MAX_EXCERPT_LENGTH = 60;

    private final List<Finding> findings = new ArrayList<>();

    void add(SourceLocation location, String expected, String found) {
        if (findings.size() < MAX_FINDINGS) {
            findings.add(
                    new Finding(location.file(), location.line(), location.column(), location.path(), expected, found));
        }
    }

    void addForFile(String file, String expected, String found) {
        add(new SourceLocation(sanitise(file), 0, 0, ""), expected, found);
    }

    void addAll(List<Finding> others) {
        others.stream().limit(MAX_FINDINGS - findings.size()).forEach(findings::add);
    }

    boolean isEmpty() {
        return findings.isEmpty();
    }

    /** All findings, ordered by file, line and column. */
    List<Finding> sorted() {
        List<Finding> sorted = new ArrayList<>(findings);
        sorted.sort(Comparator.comparing(Finding::file)
                .thenComparingInt(Finding::line)
                .thenComparingInt(Finding::column));
        return List.copyOf(sorted);
    }

    /** Describes a node's kind and, for a scalar, a short excerpt of it. */
    static String excerpt(YamlNode node) {
        if (node instanceof YamlNode.Scalar scalar) {
            return scalar.isNull() ? "nothing" : excerptText(scalar.text());
        }
        return node instanceof YamlNode.Sequence ? "a list" : "a mapping";
    }

    /** Quotes and shortens a text and replaces control characters, which could disturb a terminal. */
    static String excerptText(String text) {
        return '"' + sanitise(text) + '"';
    }

    private static String sanitise(String text) {
        String shortened = text.length() > MAX_EXCERPT_LENGTH ? text.substring(0, MAX_EXCERPT_LENGTH) + "..." : text;
        StringBuilder sanitised = new StringBuilder();
        shortened.codePoints().forEach(point -> sanitised.appendCodePoint(isUnsafe(point) ? '\uFFFD' : point));
        return sanitised.toString();
    }

    private static boolean isUnsafe(int point) {
        return Character.isISOControl(point)
                || Character.getType(point) == Character.FORMAT
                || Character.getType(point) == Character.SURROGATE;
    }
}
