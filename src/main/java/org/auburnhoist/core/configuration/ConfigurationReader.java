package org.auburnhoist.core.configuration;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Reads a set of YAML files into a configuration, or reports all of their faults together.
 *
 * <pre>{@code
 * Either<List<Finding>, FleetConfiguration> result =
 *         ConfigurationReader.read(1, List.of(ConfigurationFile.of("teams.yaml", text)));
 * }</pre>
 */
public final class ConfigurationReader {
    /** Most files of a configuration. */
    public static final int MAXIMUM_FILES = 256;

    /** Largest file, in bytes; 81,000 teams take about 7 MB. */
    public static final int MAXIMUM_FILE_BYTES = 16 << 20;

    /** Most bytes of all files together. */
    public static final int MAXIMUM_TOTAL_BYTES = 48 << 20;

    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,98}\\.ya?ml");

    private final FindingCollector findings = new FindingCollector();
    private final Sections sections = Sections.empty();

    private ConfigurationReader() {}

    /**
     * Reads all files of a configuration.
     *
     * @param version the version that the configuration gets
     * @param files the files, in any order
     * @return the configuration, or all findings in the order of files and lines
     */
    public static Either<List<Finding>, FleetConfiguration> read(long version, Collection<ConfigurationFile> files) {
        ConfigurationReader reader = new ConfigurationReader();
        if (reader.acceptsSizes(files)) {
            files.forEach(reader::readFile);
            new CrossChecks(reader.sections, reader.findings).run();
        }
        return reader.findings.isEmpty()
                ? Either.right(reader.sections.toConfiguration(version))
                : Either.left(reader.findings.sorted());
    }

    private boolean acceptsSizes(Collection<ConfigurationFile> files) {
        long total = 0;
        Set<String> names = new HashSet<>();
        for (ConfigurationFile file : files) {
            total += file.content().length;
            checkFile(file, names);
        }
        if (files.size() > MAXIMUM_FILES) {
            findings.addForFile("all files", "at most " + MAXIMUM_FILES + " files", files.size() + " files");
        }
        if (total > MAXIMUM_TOTAL_BYTES) {
            findings.addForFile("all files", "at most " + MAXIMUM_TOTAL_BYTES + " bytes", total + " bytes");
        }
        return findings.isEmpty();
    }

    private void checkFile(ConfigurationFile file, Set<String> names) {
        if (!FILE_NAME.matcher(file.name()).matches()) {
            String expected = "a file name of letters, digits, dots, hyphens and underscores that ends with .yaml";
            findings.addForFile(file.name(), expected, FindingCollector.excerptText(file.name()));
        }
        if (!names.add(file.name())) {
            findings.addForFile(file.name(), "each file name once", "a second file of this name");
        }
        if (file.content().length > MAXIMUM_FILE_BYTES) {
            findings.addForFile(
                    file.name(), "at most " + MAXIMUM_FILE_BYTES + " bytes", file.content().length + " bytes");
        }
    }

    private void readFile(ConfigurationFile file) {
        String text = decode(file);
        YamlNode document = text == null ? null : YamlParser.parse(file.name(), text, findings);
        if (document == null) {
            return;
        }
        Place place = new Place(file.name(), document.line(), document.column(), "");
        if (!(document instanceof YamlNode.Mapping mapping)) {
            findings.add(place, "a mapping with the sections of a file", FindingCollector.excerpt(document));
            return;
        }
        Fields fields = new Fields(mapping, place, Sections.NAMES, findings);
        for (String name : List.of("teams", "keys", "services", "routes")) {
            YamlNode section = fields.has(name) ? fields.node(name, "a section") : null;
            if (section != null) {
                sections.named(name).read(section, place.within(section, name), findings);
            }
        }
    }

    private @Nullable String decode(ConfigurationFile file) {
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
