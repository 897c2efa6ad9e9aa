package org.auburnhoist.core.configuration;

/**
 * Where something stands in a file.
 *
 * @param file name of the file
 * @param line line, counted from 1
 * @param column column, counted from 1
 * @param path place in the document
 */
record Place(String file, int line, int column, String path) {
    Place within(YamlNode node, String name) {
        return new Place(file, node.line(), node.column(), path.isEmpty() ? name : path + "." + name);
    }

    Place at(YamlNode node) {
        return new Place(file, node.line(), node.column(), path);
    }

    /** The place as part of a finding about another place. */
    String reference() {
        return file + ":" + line;
    }
}
