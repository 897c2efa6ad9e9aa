package org.auburnhoist.core.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The manifest of one version of the configuration, which lists its files and their chunks. It is the only mutable key
 * of the configuration in the store, so that a change takes effect atomically.
 *
 * @param version increases by 1 with each accepted change; 0 means no configuration
 * @param history the newest changes, newest first, at most {@value #MAX_HISTORY}
 * @param files the files, ordered by name
 */
public record ConfigurationHead(long version, List<Change> history, List<FileEntry> files) {
    /** The head before the first change. */
    public static final ConfigurationHead NONE = new ConfigurationHead(0, List.of(), List.of());

    /** Number of changes that a head lists, so that a writer whose answer was lost finds its own among later ones. */
    public static final int MAX_HISTORY = 64;

    /** Maximum length of a string in a head, in characters; even a summary that names every file is shorter. */
    private static final int MAX_TEXT_LENGTH = 65_536;

    private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(8)
                            .maxStringLength(MAX_TEXT_LENGTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    /** Copies and orders the files. */
    public ConfigurationHead {
        List<FileEntry> ordered = new ArrayList<>(files);
        ordered.sort(Comparator.comparing(FileEntry::name));
        files = List.copyOf(ordered);
        history = List.copyOf(history);
    }

    /**
     * A change of the configuration.
     *
     * @param version the version that the change created
     * @param id random text by which a writer recognises its own change after an answer was lost
     * @param appliedBy the operator
     * @param appliedAt time of the change in ISO 8601, by the operator's clock
     * @param summary the files that were replaced or removed
     */
    public record Change(long version, String id, String appliedBy, String appliedAt, String summary) {}

    /**
     * A file of the configuration.
     *
     * @param name base name
     * @param bytes size
     * @param sha256 digest of the whole file
     * @param version version of the configuration in which the file was last replaced
     * @param appliedBy the operator who replaced it
     * @param appliedAt time of that change in ISO 8601, by the operator's clock
     * @param chunks SHA-256 of each chunk, in order
     */
    public record FileEntry(
            String name,
            long bytes,
            String sha256,
            long version,
            String appliedBy,
            String appliedAt,
            List<String> chunks) {
        /** Copies the list. */
        public FileEntry {
            chunks = List.copyOf(chunks);
        }
    }

    /** Finds the entry of a file by its name. */
    public Optional<FileEntry> file(String name) {
        return files.stream().filter(file -> file.name().equals(name)).findFirst();
    }

    /** Whether the history contains a change with this id. */
    public boolean hasChange(String id) {
        return history.stream().anyMatch(change -> change.id().equals(id));
    }

    /** The digests of all chunks, without duplicates. */
    public Set<String> chunks() {
        Set<String> chunks = new HashSet<>();
        files.forEach(file -> chunks.addAll(file.chunks()));
        return chunks;
    }

    /**
     * Creates the head after a change.
     *
     * @param change who changed what; its version is this head's version plus 1
     * @param replaced files with their new content
     * @param removed names of files to remove
     */
    public ConfigurationHead next(Change change, List<ConfigurationFile> replaced, Set<String> removed) {
        long nextVersion = version + 1;
        if (change.version() != nextVersion) {
            throw new IllegalArgumentException("change: expected version " + nextVersion + ", got " + change.version());
        }
        List<FileEntry> next = new ArrayList<>();
        Set<String> superseded = new HashSet<>(removed);
        for (ConfigurationFile file : replaced) {
            superseded.add(file.name());
            List<String> chunks = ConfigurationChunks.split(file.content()).stream()
                    .map(ConfigurationChunks.Chunk::digest)
                    .toList();
            next.add(new FileEntry(
                    file.name(),
                    file.content().length,
                    Sha256.hex(file.content()),
                    nextVersion,
                    change.appliedBy(),
                    change.appliedAt(),
                    chunks));
        }
        files.stream().filter(file -> !superseded.contains(file.name())).forEach(next::add);
        List<Change> nextHistory = new ArrayList<>(List.of(change));
        history.stream().limit(MAX_HISTORY - 1L).forEach(nextHistory::add);
        return new ConfigurationHead(nextVersion, nextHistory, next);
    }

    /** The head as JSON. */
    public byte[] toBytes() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (IOException impossible) {
            throw new IllegalStateException("head: expected a value that JSON can express", impossible);
        }
    }

    /**
     * Parses a head from JSON.
     *
     * @return the head, or the reason why the bytes are not a valid head
     */
    public static Either<String, ConfigurationHead> parse(byte[] json) {
        try {
            ConfigurationHead head = MAPPER.readValue(json, ConfigurationHead.class);
            boolean digests = head.chunks().stream().allMatch(Sha256::isHexDigest);
            if (head.version < 1 || !digests) {
                return Either.left("not a head: the version is below 1 or a chunk is not named by its SHA-256");
            }
            return Either.right(head);
        } catch (IOException | RuntimeException invalid) {
            return Either.left("not a head: " + invalid.getClass().getSimpleName());
        }
    }
}
