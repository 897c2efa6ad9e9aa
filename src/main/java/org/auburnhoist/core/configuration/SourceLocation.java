package org.auburnhoist.core.configuration;

/**
 * Where something stands in a file.
 *
 * @param file name of the file
 * @param line line, counted from 1
 * @param column column, counted from 1
 * @param path place in the document
 */
record SourceLocation(String file, int line, int column, String path) {
    SourceLocation within(YamlNode node, String name) {
        return new SourceLocation(file, node.line(), node.column(), path.isEmpty() ? name : path + "." + name);
    }

    SourceLocation at(YamlNode node) {
        return new SourceLocation(file, node.line(), node.column(), path);
    }

    /** The place as part of a finding about another place. */
    String reference() {
        return file + ":" + line;
    }
}
