package org.auburnhoist.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Typed access to the fields of one mapping. Each method that reads a field reports a finding and returns null if the
 * field is missing or its value is invalid.
 */
final class Fields {
    /** Form of the names of teams, keys, services, servers, routes and data centres. */
    static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    static final String NAME_FORM = "a name of 1 to 63 lower-case letters, digits and hyphens";

    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,9})?");

    /** Parses the text of a scalar; returns null if the text is invalid. */
    interface ScalarParser<T> {
        @Nullable
        T parse(String text);
    }

    private final YamlNode.Mapping mapping;
    private final SourceLocation location;
    private final FindingCollector findings;
    private final Map<String, YamlNode> values = new HashMap<>();
    private final List<Reference> references = new ArrayList<>(1);

    /** Reports unknown and duplicate names. */
    Fields(YamlNode.Mapping mapping, SourceLocation location, Set<String> known, FindingCollector findings) {
        this.mapping = mapping;
        this.location = location;
        this.findings = findings;
        for (YamlNode.Field field : mapping.fields()) {
            String name = field.name().text();
            if (!known.contains(name)) {
                String expected = "one of the fields " + String.join(", ", new TreeSet<>(known));
                findings.add(location.ofNode(field.name()), expected, FindingCollector.excerptText(name));
            } else if (values.putIfAbsent(name, field.value()) != null) {
                findings.add(location.ofField(field.name(), name), "each field once", "a second " + name);
            }
        }
    }

    SourceLocation location() {
        return location;
    }

    SourceLocation locationOf(String name) {
        YamlNode value = values.get(name);
        return location.ofField(value == null ? mapping : value, name);
    }

    boolean has(String name) {
        return values.containsKey(name);
    }

    @Nullable
    YamlNode node(String name, String expected) {
        YamlNode value = values.get(name);
        if (value == null) {
            findings.add(location.ofField(mapping, name), expected, "nothing");
        }
        return value;
    }

    @Nullable
    Integer integer(String name, int minimum, int maximum, String unit) {
        String expected = "a whole number of " + unit + " from " + minimum + " to " + maximum;
        Double value = number(name, expected, text -> !text.contains("."), minimum, maximum);
        return value == null ? null : (Integer) value.intValue();
    }

    @Nullable
    Double decimal(String name, double minimum, double maximum, String expected) {
        return number(name, expected, text -> true, minimum, maximum);
    }

    /** Reads an optional boolean, which is false if absent; returns null if it is neither true nor false. */
    @Nullable
    Boolean flag(String name) {
        if (!has(name)) {
            return Boolean.FALSE;
        }
        return parsed(name, "true or false", true, text -> switch (text) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            default -> null;
        });
    }

    @Nullable
    String name(String name, String meaning) {
        String expected = meaning + ", " + NAME_FORM;
        return parsed(name, expected, false, text -> NAME.matcher(text).matches() ? text : null);
    }

    /** Reads the name of another declaration and records it for the validation of references. */
    @Nullable
    String reference(String name, String meaning) {
        String target = name(name, meaning);
        YamlNode node = values.get(name);
        if (target != null && node != null) {
            references.add(new Reference(name, target, node.line(), node.column()));
        }
        return target;
    }

    /** Reads a list of names of other declarations and records them for the validation of references. */
    @Nullable
    Set<String> references(String name, String expected) {
        Set<String> targets = texts(name, expected, NAME);
        if (targets != null && values.get(name) instanceof YamlNode.Sequence sequence) {
            for (YamlNode item : sequence.items()) {
                references.add(new Reference(name, ((YamlNode.Scalar) item).text(), item.line(), item.column()));
            }
        }
        return targets;
    }

    /** All references read so far. */
    List<Reference> references() {
        return List.copyOf(references);
    }

    /** Reads a scalar with the given parser; quoted scalars are refused if {@code plainOnly} is set. */
    <T> @Nullable T parsed(String name, String expected, boolean plainOnly, ScalarParser<T> parser) {
        YamlNode node = node(name, expected);
        if (node == null) {
            return null;
        }
        T value = null;
        if (node instanceof YamlNode.Scalar scalar && !scalar.isNull() && (scalar.plain() || !plainOnly)) {
            value = parser.parse(scalar.text());
        }
        if (value == null) {
            findings.add(location.ofField(node, name), expected, FindingCollector.excerpt(node));
        }
        return value;
    }

    /** Reads a list with at least one element and no duplicates. */
    @Nullable
    Set<String> texts(String name, String expected, Pattern form) {
        YamlNode node = node(name, expected);
        if (node == null) {
            return null;
        }
        if (!(node instanceof YamlNode.Sequence sequence) || sequence.items().isEmpty()) {
            String found = node instanceof YamlNode.Sequence ? "an empty list" : FindingCollector.excerpt(node);
            findings.add(location.ofField(node, name), expected, found);
            return null;
        }
        return texts(sequence.items(), name, expected, form);
    }

    private @Nullable Set<String> texts(List<YamlNode> items, String name, String expected, Pattern form) {
        Set<String> texts = new LinkedHashSet<>();
        List<YamlNode> invalid = new ArrayList<>();
        for (YamlNode item : items) {
            boolean matches = item instanceof YamlNode.Scalar scalar
                    && form.matcher(scalar.text()).matches()
                    && texts.add(scalar.text());
            if (!matches) {
                invalid.add(item);
            }
        }
        for (YamlNode item : invalid) {
            boolean repeated = item instanceof YamlNode.Scalar scalar && texts.contains(scalar.text());
            String found = FindingCollector.excerpt(item) + (repeated ? " a second time" : "");
            findings.add(location.ofField(item, name), expected, found);
        }
        return invalid.isEmpty() ? texts : null;
    }

    private @Nullable Double number(
            String name, String expected, Predicate<String> form, double minimum, double maximum) {
        return parsed(name, expected, true, text -> {
            if (!NUMBER.matcher(text).matches() || !form.test(text)) {
                return null;
            }
            double value = Double.parseDouble(text);
            return value >= minimum && value <= maximum ? (Double) value : null;
        });
    }
}
