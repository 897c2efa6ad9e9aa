package org.auburnhoist.core.configuration;

/**
 * A location in a configuration file.
 *
 * @param file name of the file
 * @param line line, counted from 1; 0 for the file as a whole
 * @param column column, counted from 1; 0 for the file as a whole
 * @param path path in the document; empty for the whole document
 */
record SourceLocation(String file, int line, int column, String path) {
    SourceLocation ofField(YamlNode node, String name) {
        return new SourceLocation(file, node.line(), node.column(), path.isEmpty() ? name : path + "." + name);
    }

    SourceLocation ofNode(YamlNode node) {
        return new SourceLocation(file, node.line(), node.column(), path);
    }

    /** Formats the location for a finding about another location. */
    String fileAndLine() {
        return file + ":" + line;
    }
}
