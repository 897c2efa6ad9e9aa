package org.auburnhoist.core.configuration;

import java.util.List;

/** A node of a YAML document with its location; lines and columns are counted from 1. */
sealed interface YamlNode {
    int line();

    int column();

    /**
     * A scalar.
     *
     * @param plain whether it is written without quotes
     */
    record Scalar(String text, boolean plain, int line, int column) implements YamlNode {
        boolean isNull() {
            return plain && (text.isEmpty() || text.equals("~") || text.equals("null"));
        }
    }

    /** A list. */
    record Sequence(List<YamlNode> items, int line, int column) implements YamlNode {}

    /** A mapping in the order of the file; duplicate names are kept. */
    record Mapping(List<Field> fields, int line, int column) implements YamlNode {}

    /** One name of a mapping with its value. */
    record Field(Scalar name, YamlNode value) {}
}
