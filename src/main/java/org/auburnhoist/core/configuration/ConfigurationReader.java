package org.auburnhoist.core.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads a set of YAML files into a configuration, or reports all errors in them together.
 *
 * <pre>{@code
 * Either<List<Finding>, FleetConfiguration> result =
 *         ConfigurationReader.read(1, List.of(ConfigurationFile.of("teams.yaml", text)));
 * }</pre>
 */
public final class ConfigurationReader {
    /** Maximum number of files in a configuration. */
    public static final int MAX_FILES = 256;

    /** Maximum size of a file, in bytes; 81,000 teams take about 7 MB. */
    public static final int MAX_FILE_BYTES = 16 << 20;

    /** Maximum size of all files together, in bytes. */
    public static final int MAX_TOTAL_BYTES = 48 << 20;

    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,98}\\.ya?ml");

    private Map<String, ParsedFile> parsedFiles = Map.of();

    /**
     * Reads all files of a configuration.
     *
     * @param version the version that the configuration gets
     * @param files the files, in any order
     * @return the configuration, or all findings in the order of files and lines
     */
    public static Either<List<Finding>, FleetConfiguration> read(long version, Collection<ConfigurationFile> files) {
        return new ConfigurationReader().readIncrementally(version, files);
    }

    /**
     * Reads all files of a configuration and parses only those that differ from the previous call, because parsing
     * takes nearly all of the time. Not thread-safe.
     *
     * @param version the version that the configuration gets
     * @param files all files, in any order
     * @return as {@link #read}
     */
    public Either<List<Finding>, FleetConfiguration> readIncrementally(
            long version, Collection<ConfigurationFile> files) {
        FindingCollector findings = new FindingCollector();
        if (!isWithinLimits(files, findings)) {
            return Either.left(findings.sorted());
        }
        Sections sections = Sections.empty();
        Map<String, ParsedFile> parsed = new HashMap<>();
        for (ConfigurationFile file : sortedByName(files)) {
            String identity = file.name() + " " + Sha256.hex(file.content());
            ParsedFile cached = parsedFiles.get(identity);
            ParsedFile current = cached == null ? ParsedFile.parse(file) : cached;
            parsed.put(identity, current);
            findings.addAll(current.findings());
            sections.merge(current.sections(), findings);
        }
        parsedFiles = parsed;
        if (parsed.values().stream().allMatch(ParsedFile::complete)) {
            new ConsistencyValidator(sections, findings).validate();
        }
        return findings.isEmpty() ? Either.right(sections.toConfiguration(version)) : Either.left(findings.sorted());
    }

    private static List<ConfigurationFile> sortedByName(Collection<ConfigurationFile> files) {
        List<ConfigurationFile> ordered = new ArrayList<>(files);
        ordered.sort(Comparator.comparing(ConfigurationFile::name));
        return ordered;
    }

    private static boolean isWithinLimits(Collection<ConfigurationFile> files, FindingCollector findings) {
        long total = 0;
        Set<String> names = new HashSet<>();
        for (ConfigurationFile file : files) {
            total += file.content().length;
            checkFile(file, names, findings);
        }
        if (files.size() > MAX_FILES) {
            findings.addForFile("all files", "at most " + MAX_FILES + " files", files.size() + " files");
        }
        if (total > MAX_TOTAL_BYTES) {
            findings.addForFile("all files", "at most " + MAX_TOTAL_BYTES + " bytes", total + " bytes");
        }
        return findings.isEmpty();
    }

    private static void checkFile(ConfigurationFile file, Set<String> names, FindingCollector findings) {
        if (!FILE_NAME.matcher(file.name()).matches()) {
            String expected = "a file name of letters, digits, dots, hyphens and underscores that ends with .yaml";
            findings.addForFile(file.name(), expected, FindingCollector.excerptText(file.name()));
        }
        if (!names.add(file.name())) {
            findings.addForFile(file.name(), "each file name once", "a second file of this name");
        }
        if (file.content().length > MAX_FILE_BYTES) {
            findings.addForFile(file.name(), "at most " + MAX_FILE_BYTES + " bytes", file.content().length + " bytes");
        }
    }
}
