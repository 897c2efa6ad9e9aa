package org.auburnhoist.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Gathers findings, so that an operator sees all of them at once. */
final class FindingCollector {
    /** Findings beyond this count are dropped; a reader of the report has enough to do with these. */
    static final int MAXIMUM_FINDINGS = 1_000;

    /** Longest excerpt of a file, in characters, that a finding shows. */
    private static final int MAXIMUM_EXCERPT = 60;

    private final List<Finding> findings = new ArrayList<>();

    void add(SourceLocation place, String expected, String found) {
        if (findings.size() < MAXIMUM_FINDINGS) {
            findings.add(new Finding(place.file(), place.line(), place.column(), place.path(), expected, found));
        }
    }

    void addForFile(String file, String expected, String found) {
        add(new SourceLocation(safe(file), 0, 0, ""), expected, found);
    }

    void addAll(List<Finding> others) {
        others.stream().limit(MAXIMUM_FINDINGS - findings.size()).forEach(findings::add);
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
            return scalar.isNothing() ? "nothing" : excerptText(scalar.text());
        }
        return node instanceof YamlNode.Sequence ? "a list" : "a mapping";
    }

    /** Quotes and shortens a text and replaces control characters, so that it cannot disturb a terminal. */
    static String excerptText(String text) {
        return '"' + safe(text) + '"';
    }

    private static String safe(String text) {
        String shortened = text.length() > MAXIMUM_EXCERPT ? text.substring(0, MAXIMUM_EXCERPT) + "..." : text;
        StringBuilder safe = new StringBuilder();
        shortened.codePoints().forEach(point -> safe.appendCodePoint(isUnsafe(point) ? '\uFFFD' : point));
        return safe.toString();
    }

    private static boolean isUnsafe(int point) {
        return Character.isISOControl(point)
                || Character.getType(point) == Character.FORMAT
                || Character.getType(point) == Character.SURROGATE;
    }
}
