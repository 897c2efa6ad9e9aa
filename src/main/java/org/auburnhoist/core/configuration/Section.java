package org.auburnhoist.core.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The declarations of one kind. A name with findings about its value stays declared, so that references
 * to it cause no further findings.
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
     * Describes a section.
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
    void read(YamlNode node, SourceLocation place, FindingCollector findings) {
        if (!(node instanceof YamlNode.Mapping mapping)) {
            findings.add(place, "a mapping with a name for each " + kind, FindingCollector.excerpt(node));
            return;
        }
        for (YamlNode.Field field : mapping.fields()) {
            readEntry(field, place, findings);
        }
    }

    private void readEntry(YamlNode.Field field, SourceLocation sectionPlace, FindingCollector findings) {
        String name = field.name().text();
        if (!Fields.NAME.matcher(name).matches()) {
            findings.add(sectionPlace.at(field.name()), Fields.NAME_FORM, FindingCollector.excerptText(name));
            return;
        }
        SourceLocation place = sectionPlace.within(field.name(), name);
        if (declarations.containsKey(name)) {
            reportDuplicate(name, place, findings);
            return;
        }
        T value = null;
        List<Reference> references = List.of();
        if (field.value() instanceof YamlNode.Mapping mapping) {
            Fields fields = new Fields(mapping, place, knownFields, findings);
            value = reader.read(name, fields, findings);
            references = fields.references();
        } else {
            findings.add(place, "the fields of a " + kind, FindingCollector.excerpt(field.value()));
        }
        declarations.put(name, new Declaration<>(place, value, references));
    }

    /** Adds the declarations of the same section of another file. */
    void merge(Section<T> other, FindingCollector findings) {
        other.declarations.forEach((name, declared) -> {
            if (declarations.putIfAbsent(name, declared) != null) {
                reportDuplicate(name, declared.place(), findings);
            }
        });
    }

    private void reportDuplicate(String name, SourceLocation place, FindingCollector findings) {
        Declaration<T> earlier = declarations.get(name);
        String first =
                earlier == null ? "" : "; the first is at " + earlier.place().reference();
        findings.add(place, "each " + kind + " once", "a second " + kind + " of this name" + first);
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
