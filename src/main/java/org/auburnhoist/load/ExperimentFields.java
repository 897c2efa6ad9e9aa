package org.auburnhoist.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.auburnhoist.core.configuration.Finding;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.common.FlowStyle;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * Typed access to the fields of one mapping of an experiment file. A missing or invalid field is reported as a finding
 * and replaced by a default value, so that one pass reports all findings.
 */
final class ExperimentFields {
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,6})(ms|s|m)");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,9})?");
    private static final int MAX_EXCERPT_LENGTH = 60;

    private final String file;
    private final String path;
    private final Node node;
    private final List<Finding> findings;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Map<String, Node> unread = new LinkedHashMap<>();

    ExperimentFields(String file, String path, Node node, List<Finding> findings) {
        this.file = file;
        this.path = path;
        this.node = node;
        this.findings = findings;
        if (!(node instanceof MappingNode mapping)) {
            report(node, path, "a mapping", excerpt(node));
            return;
        }
        for (NodeTuple tuple : mapping.getValue()) {
            String name = tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "";
            if (values.putIfAbsent(name, tuple.getValueNode()) != null) {
                report(tuple.getKeyNode(), qualifiedName(name), "each field once", "a second " + name);
            }
            unread.put(name, tuple.getKeyNode());
        }
    }

    /** Reports all fields that have not been read as unknown. */
    void reportUnknown() {
        unread.forEach((name, key) -> report(key, qualifiedName(name), "one of the known fields", '"' + name + '"'));
    }

    boolean has(String name) {
        return values.containsKey(name);
    }

    /** Returns the names of all fields. */
    List<String> names() {
        return List.copyOf(values.keySet());
    }

    String text(String name, String expected, List<String> accepted) {
        return parseField(
                name,
                expected,
                "",
                text -> accepted.isEmpty() || accepted.contains(text) ? Optional.of(text) : Optional.empty());
    }

    double number(String name, double minimum, double maximum) {
        String expected = "a number from " + plain(minimum) + " to " + plain(maximum);
        return parseField(
                name,
                expected,
                minimum,
                text -> Optional.of(text)
                        .filter(form -> NUMBER.matcher(form).matches())
                        .map(Double::parseDouble)
                        .filter(value -> value >= minimum && value <= maximum));
    }

    int integer(String name, int minimum, int maximum) {
        String expected = "a whole number from " + minimum + " to " + maximum;
        return parseField(
                name,
                expected,
                minimum,
                text -> Optional.of(text)
                        .filter(form -> form.matches("[0-9]{1,9}"))
                        .map(Integer::parseInt)
                        .filter(value -> value >= minimum && value <= maximum));
    }

    Duration duration(String name, Duration maximum) {
        String expected = "a duration such as 500ms, 5s or 1m of at most " + maximum.toSeconds() + "s";
        return parseField(
                name,
                expected,
                Duration.ZERO,
                text -> parseDuration(text).filter(value -> value.compareTo(maximum) <= 0));
    }

    /** Reports a value that is well-formed but inconsistent with another one. */
    void reportContradiction(String name, String expected) {
        Node value = values.getOrDefault(name, node);
        report(value, qualifiedName(name), expected, excerpt(value));
    }

    ExperimentFields mapping(String name) {
        Node value = readField(name);
        if (value == null) {
            report(node, qualifiedName(name), "a mapping", "nothing");
            return new ExperimentFields(file, qualifiedName(name), emptyMapping(), findings);
        }
        return new ExperimentFields(file, qualifiedName(name), value, findings);
    }

    List<ExperimentFields> list(String name) {
        Node value = readField(name);
        List<ExperimentFields> items = new ArrayList<>();
        if (value instanceof SequenceNode sequence) {
            for (Node item : sequence.getValue()) {
                items.add(new ExperimentFields(file, qualifiedName(name), item, findings));
            }
        } else if (value != null) {
            report(value, qualifiedName(name), "a list", excerpt(value));
        }
        return items;
    }

    private MappingNode emptyMapping() {
        return new MappingNode(node.getTag(), true, List.of(), FlowStyle.BLOCK, node.getStartMark(), node.getEndMark());
    }

    private <T> T parseField(String name, String expected, T defaultValue, Function<String, Optional<T>> parser) {
        Node value = readField(name);
        if (value == null) {
            report(node, qualifiedName(name), expected, "nothing");
            return defaultValue;
        }
        Optional<T> accepted = value instanceof ScalarNode scalar ? parser.apply(scalar.getValue()) : Optional.empty();
        if (accepted.isEmpty()) {
            report(value, qualifiedName(name), expected, excerpt(value));
        }
        return accepted.orElse(defaultValue);
    }

    private @Nullable Node readField(String name) {
        unread.remove(name);
        return values.get(name);
    }

    private String qualifiedName(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private void report(Node at, String where, String expected, String found) {
        Optional<Mark> mark = at.getStartMark();
        int line = mark.map(present -> present.getLine() + 1).orElse(0);
        int column = mark.map(present -> present.getColumn() + 1).orElse(0);
        findings.add(new Finding(file, line, column, where, expected, found));
    }

    private static Optional<Duration> parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long count = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(count);
                    case "s" -> Duration.ofSeconds(count);
                    default -> Duration.ofMinutes(count);
                });
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private static String excerpt(Node node) {
        if (node instanceof ScalarNode scalar) {
            String text = scalar.getValue();
            return '"'
                    + (text.length() > MAX_EXCERPT_LENGTH ? text.substring(0, MAX_EXCERPT_LENGTH) + "..." : text)
                    + '"';
        }
        return node instanceof SequenceNode ? "a list" : "a mapping";
    }
}
