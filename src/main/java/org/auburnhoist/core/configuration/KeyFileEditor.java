package org.auburnhoist.core.configuration;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Adds and withdraws keys in the text of a file. Comments and all other bytes stay as they are. Each edit is verified
 * by parsing the result: it must contain the edit, and all other declarations must be unchanged.
 */
public final class KeyFileEditor {
    private static final String SECTION = "keys";
    private static final String DEFAULT_INDENT = "  ";

    private final ConfigurationFile file;
    private final SourceText source;
    private final YamlNode.Mapping document;

    private KeyFileEditor(ConfigurationFile file, String text, YamlNode.Mapping document) {
        this.file = file;
        this.source = new SourceText(text);
        this.document = document;
    }

    /**
     * Appends a key to the file's keys section, which is added if the file has none.
     *
     * @param file the file
     * @param key the new key
     * @return the changed file, or why it cannot be changed
     */
    public static Either<List<Finding>, ConfigurationFile> append(ConfigurationFile file, Key key) {
        return open(file).flatMap(editor -> editor.append(key));
    }

    /**
     * Marks a key as withdrawn.
     *
     * @param file the file
     * @param id the key's id
     * @return the changed file, the same file if the key is withdrawn already, or why it cannot be changed
     */
    public static Either<List<Finding>, ConfigurationFile> withdraw(ConfigurationFile file, String id) {
        return open(file).flatMap(editor -> editor.withdraw(id));
    }

    private static Either<List<Finding>, KeyFileEditor> open(ConfigurationFile file) {
        FindingCollector findings = new FindingCollector();
        String text = new String(file.content(), StandardCharsets.UTF_8);
        YamlNode document = YamlParser.parse(file.name(), text, findings);
        if (!findings.isEmpty()) {
            return Either.left(findings.sorted());
        }
        if (document == null) {
            return Either.right(new KeyFileEditor(file, text, new YamlNode.Mapping(List.of(), 1, 1)));
        }
        if (document instanceof YamlNode.Mapping mapping) {
            return Either.right(new KeyFileEditor(file, text, mapping));
        }
        findings.addForFile(file.name(), "a mapping with the sections of a file", FindingCollector.excerpt(document));
        return Either.left(findings.sorted());
    }

    private Either<List<Finding>, ConfigurationFile> append(Key key) {
        YamlNode.Field section = findField(document, SECTION);
        if (section != null
                && section.value() instanceof YamlNode.Mapping mapping
                && findField(mapping, key.id()) != null) {
            return refuse(section, "a key id that is not in the file", FindingCollector.excerptText(key.id()));
        }
        String edited = section == null
                ? source.insertLines(source.lineCount() + 1, newSectionLines(SECTION + ":", key, DEFAULT_INDENT))
                : source.insertLines(
                        source.lineAfterSection(section.name(), nextSectionLine(section)), entryLines(key, section));
        String prefix = SECTION + "." + key.id() + ".";
        return verifyEdit(edited, line -> line.startsWith(prefix), section);
    }

    private static List<String> entryLines(Key key, YamlNode.Field section) {
        String indent = DEFAULT_INDENT;
        if (section.value() instanceof YamlNode.Mapping mapping
                && !mapping.fields().isEmpty()) {
            indent = " ".repeat(mapping.fields().get(0).name().column() - 1);
        }
        return keyLines(key, indent);
    }

    private static List<String> newSectionLines(String heading, Key key, String indent) {
        List<String> lines = new ArrayList<>(List.of(heading));
        lines.addAll(keyLines(key, indent));
        return lines;
    }

    private static List<String> keyLines(Key key, String indent) {
        String inner = indent + DEFAULT_INDENT;
        return List.of(
                indent + key.id() + ":",
                inner + "team: " + key.team(),
                inner + "secret-sha256: \"" + key.secretSha256() + "\"");
    }

    /** Returns the first line of the section after this one, or the line after the last line of the file. */
    private int nextSectionLine(YamlNode.Field section) {
        return document.fields().stream()
                .mapToInt(field -> field.name().line())
                .filter(line -> line > section.name().line())
                .min()
                .orElse(source.lineCount() + 1);
    }

    private Either<List<Finding>, ConfigurationFile> withdraw(String id) {
        YamlNode.Field section = findField(document, SECTION);
        YamlNode.Field key =
                section != null && section.value() instanceof YamlNode.Mapping keys ? findField(keys, id) : null;
        if (key == null
                || !(key.value() instanceof YamlNode.Mapping fields)
                || fields.fields().isEmpty()) {
            return refuse(section, "the declaration of key " + id, "no such key");
        }
        YamlNode.Field withdrawn = findField(fields, "withdrawn");
        String edited;
        if (withdrawn == null) {
            edited = insertWithdrawn(fields);
        } else if (withdrawn.value() instanceof YamlNode.Scalar scalar
                && scalar.text().equals("true")) {
            return Either.right(file);
        } else {
            edited = source.replace(withdrawn.value().line(), withdrawn.value().column(), "false", "true");
        }
        String changed = SECTION + "." + id + ".withdrawn=";
        return verifyEdit(edited, line -> line.startsWith(changed), key);
    }

    private String insertWithdrawn(YamlNode.Mapping fields) {
        if (source.startsWith(fields.line(), fields.column(), "{")) {
            return source.replace(fields.line(), fields.column(), "{", "{withdrawn: true, ");
        }
        YamlNode.Scalar first = fields.fields().get(0).name();
        return source.insertLines(first.line(), List.of(" ".repeat(first.column() - 1) + "withdrawn: true"));
    }

    /** Accepts an edit if it changed the intended fields only, and at least one of them. */
    private Either<List<Finding>, ConfigurationFile> verifyEdit(
            String edited, Predicate<String> isEdited, YamlNode.@Nullable Field field) {
        FindingCollector findings = new FindingCollector();
        YamlNode after = YamlParser.parse(file.name(), edited, findings);
        List<String> before =
                leaves(document).stream().filter(isEdited.negate()).toList();
        List<String> rest = leaves(after).stream().filter(isEdited.negate()).toList();
        boolean changed = leaves(after).stream().anyMatch(isEdited);
        if (!findings.isEmpty() || !before.equals(rest) || !changed) {
            return refuse(
                    field, "one line for each name and value of the keys section", "a form that cannot be edited");
        }
        return Either.right(ConfigurationFile.of(file.name(), edited));
    }

    private Either<List<Finding>, ConfigurationFile> refuse(
            YamlNode.@Nullable Field field, String expected, String found) {
        FindingCollector findings = new FindingCollector();
        YamlNode node = Optional.<YamlNode>ofNullable(field == null ? null : field.name())
                .orElse(document);
        findings.add(new SourceLocation(file.name(), node.line(), node.column(), SECTION), expected, found);
        return Either.left(findings.sorted());
    }

    private static YamlNode.@Nullable Field findField(YamlNode.Mapping mapping, String name) {
        for (YamlNode.Field field : mapping.fields()) {
            if (field.name().text().equals(name)) {
                return field;
            }
        }
        return null;
    }

    /** Lists each scalar of a document as {@code path=value}, in order. */
    private static List<String> leaves(@Nullable YamlNode node) {
        List<String> leaves = new ArrayList<>();
        if (node != null) {
            addLeaves(node, "", leaves);
        }
        return leaves;
    }

    private static void addLeaves(YamlNode node, String path, List<String> leaves) {
        if (node instanceof YamlNode.Mapping mapping) {
            for (YamlNode.Field field : mapping.fields()) {
                String name = field.name().text();
                addLeaves(field.value(), path.isEmpty() ? name : path + "." + name, leaves);
            }
        } else if (node instanceof YamlNode.Sequence sequence) {
            for (YamlNode item : sequence.items()) {
                addLeaves(item, path + "[]", leaves);
            }
        } else if (node instanceof YamlNode.Scalar scalar && !scalar.isNull()) {
            leaves.add(path + "=" + scalar.text());
        }
    }
}
