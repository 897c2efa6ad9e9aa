package org.auburnhoist.core.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The declarations of one file.
 *
 * @param sections what the file declares
 * @param findings errors that can be found without the other files
 * @param complete whether the name of every declaration is known; if not, references to them cannot be checked
 */
record ParsedFile(Sections sections, List<Finding> findings, boolean complete) {
    static ParsedFile parse(ConfigurationFile file) {
        Sections sections = Sections.empty();
        FindingCollector findings = new FindingCollector();
        boolean complete = read(file, sections, findings);
        return new ParsedFile(sections, findings.sorted(), complete);
    }

    /** Reads all sections; returns whether the name of every declaration is known. */
    private static boolean read(ConfigurationFile file, Sections sections, FindingCollector findings) {
        String text = decode(file, findings);
        YamlNode document = text == null ? null : YamlParser.parse(file.name(), text, findings);
        if (document == null) {
            return findings.isEmpty();
        }
        SourceLocation location = new SourceLocation(file.name(), document.line(), document.column(), "");
        if (!(document instanceof YamlNode.Mapping mapping)) {
            findings.add(location, "a mapping with the sections of a file", FindingCollector.excerpt(document));
            return false;
        }
        Fields fields = new Fields(mapping, location, Sections.NAMES, findings);
        boolean complete = findings.isEmpty();
        for (String name : List.of("teams", "keys", "services", "routes")) {
            YamlNode section = fields.has(name) ? fields.node(name, "a section") : null;
            if (section != null) {
                sections.named(name).read(section, location.ofField(section, name), findings);
                complete = complete && section instanceof YamlNode.Mapping;
            }
        }
        return complete;
    }

    private static @Nullable String decode(ConfigurationFile file, FindingCollector findings) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(file.content()))
                    .toString();
        } catch (CharacterCodingException invalid) {
            findings.addForFile(file.name(), "UTF-8 text", "bytes that are not UTF-8");
            return null;
        }
    }
}
