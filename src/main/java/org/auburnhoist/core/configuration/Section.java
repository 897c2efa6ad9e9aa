package org.auburnhoist.core.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The declarations of one kind, by name. A declaration with an invalid value stays declared, so that references to it
 * cause no further findings.
 */
final class Section<T> {
    /** Reads the fields of one declaration; returns null after reporting a finding. */
    interface EntryReader<T> {
        @Nullable
        T read(String name, Fields fields, FindingCollector findings);
    }

    private final String kind;
    private final Set<String> knownFields;
    private final EntryReader<T> reader;
    private final Map<String, Declaration<T>> declarations = new LinkedHashMap<>();

    /**
     * Creates an empty section.
     *
     * @param kind what one declaration is, for messages
     * @param knownFields names of all fields of a declaration
     * @param reader reads one declaration
     */
    Section(String kind, Set<String> knownFields, EntryReader<T> reader) {
        this.kind = kind;
        this.knownFields = knownFields;
        this.reader = reader;
    }

    /** Reads a mapping from names to declarations and adds them. */
    void read(YamlNode node, SourceLocation location, FindingCollector findings) {
        if (!(node instanceof YamlNode.Mapping mapping)) {
            findings.add(location, "a mapping with a name for each " + kind, FindingCollector.excerpt(node));
            return;
        }
        for (YamlNode.Field field : mapping.fields()) {
            readEntry(field, location, findings);
        }
    }

    private void readEntry(YamlNode.Field field, SourceLocation sectionLocation, FindingCollector findings) {
        String name = field.name().text();
        if (!Fields.NAME.matcher(name).matches()) {
            findings.add(sectionLocation.ofNode(field.name()), Fields.NAME_FORM, FindingCollector.excerptText(name));
            return;
        }
        SourceLocation location = sectionLocation.ofField(field.name(), name);
        if (declarations.containsKey(name)) {
            reportDuplicate(name, location, findings);
            return;
        }
        T value = null;
        List<Reference> references = List.of();
        if (field.value() instanceof YamlNode.Mapping mapping) {
            Fields fields = new Fields(mapping, location, knownFields, findings);
            value = reader.read(name, fields, findings);
            references = fields.references();
        } else {
            findings.add(location, "the fields of a " + kind, FindingCollector.excerpt(field.value()));
        }
        declarations.put(name, new Declaration<>(location, value, references));
    }

    /** Adds the declarations of the same section of another file. */
    void merge(Section<T> other, FindingCollector findings) {
        other.declarations.forEach((name, declared) -> {
            if (declarations.putIfAbsent(name, declared) != null) {
                reportDuplicate(name, declared.location(), findings);
            }
        });
    }

    private void reportDuplicate(String name, SourceLocation location, FindingCollector findings) {
        Declaration<T> earlier = declarations.get(name);
        String first =
                earlier == null ? "" : "; the first is at " + earlier.location().fileAndLine();
        findings.add(location, "each " + kind + " once", "a second " + kind + " of this name" + first);
    }

    boolean declares(String name) {
        return declarations.containsKey(name);
    }

    Map<String, Declaration<T>> declarations() {
        return declarations;
    }

    /** The values without findings, by name. */
    Map<String, T> values() {
        Map<String, T> values = new LinkedHashMap<>();
        declarations.forEach((name, declared) -> {
            T value = declared.value();
            if (value != null) {
                values.put(name, value);
            }
        });
        return values;
    }
}
