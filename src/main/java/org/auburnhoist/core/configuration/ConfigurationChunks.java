package org.auburnhoist.core.configuration;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Splits a file into content-defined chunks: their boundaries depend on the file's content, so that a small change
 * replaces one or two chunks and hosts fetch only these.
 *
 * <p>A chunk ends after a line if a hash of that line and the {@value #CONTEXT_LINES} lines before it is a multiple of
 * {@value #LINES_PER_BOUNDARY}. Hashing a single line would not suffice, because a line such as {@code burst: 3} occurs
 * thousands of times.
 */
public final class ConfigurationChunks {
    /** Maximum size of a chunk, in bytes. */
    public static final int MAX_CHUNK_BYTES = 256 << 10;

    /**
     * Minimum size of a chunk that ends at a content-defined boundary, in bytes; limits the number of chunks in a head.
     */
    static final int MIN_CHUNK_BYTES = 16 << 10;

    /**
     * Expected number of lines between boundaries. After a change a host fetches the new head, which has 67 bytes for
     * each chunk, and one chunk; for 17 MB of files in total, the sum is smallest with chunks of about 34 KB.
     */
    private static final int LINES_PER_BOUNDARY = 1_024;

    /** Number of preceding lines that are hashed together with a line to decide whether a chunk ends after it. */
    private static final int CONTEXT_LINES = 3;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private ConfigurationChunks() {}

    /**
     * A part of a file.
     *
     * @param digest lower-case hexadecimal SHA-256 of the content
     * @param content 1 to {@value #MAX_CHUNK_BYTES} bytes
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Chunk(String digest, byte[] content) {}

    /**
     * Why chunks could not be joined.
     *
     * @param digest digest of the chunk at which joining failed
     * @param problem description of the failure, as one clause for messages
     */
    public record JoinFailure(String digest, String problem) {}

    /** Splits a file; an empty file has no chunks. */
    public static List<Chunk> split(byte[] file) {
        List<Chunk> chunks = new ArrayList<>();
        long[] recent = new long[CONTEXT_LINES + 1];
        int start = 0;
        int position = 0;
        for (int line = 0; position < file.length; line++) {
            int end = endOfLine(file, position);
            recent[line % recent.length] = hash(file, position, end);
            if (end - start > MAX_CHUNK_BYTES && position > start) {
                chunks.add(chunk(file, start, position));
                start = position;
            }
            while (end - start > MAX_CHUNK_BYTES) {
                chunks.add(chunk(file, start, start + MAX_CHUNK_BYTES));
                start += MAX_CHUNK_BYTES;
            }
            if (end == file.length || (end - start >= MIN_CHUNK_BYTES && isBoundary(recent, line))) {
                chunks.add(chunk(file, start, end));
                start = end;
            }
            position = end;
        }
        return chunks;
    }

    /**
     * Joins chunks into a file and verifies each of them.
     *
     * @param digests digests of the file's chunks, in order
     * @param source finds a chunk by its digest, or returns null
     * @return the file, or the first chunk that is missing or corrupt
     */
    public static Either<JoinFailure, byte[]> join(List<String> digests, Function<String, byte @Nullable []> source) {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        for (String digest : digests) {
            byte[] content = source.apply(digest);
            if (content == null) {
                return Either.left(new JoinFailure(digest, "missing"));
            }
            if (!isIntact(digest, content)) {
                return Either.left(new JoinFailure(digest, "content does not have this SHA-256"));
            }
            if ((long) file.size() + content.length > ConfigurationReader.MAX_FILE_BYTES) {
                return Either.left(new JoinFailure(digest, "file larger than the limit"));
            }
            file.write(content, 0, content.length);
        }
        return Either.right(file.toByteArray());
    }

    /** Whether the content of a chunk, such as one received from elsewhere, has the given digest and a valid size. */
    public static boolean isIntact(String digest, byte[] content) {
        return content.length <= MAX_CHUNK_BYTES && Sha256.hex(content).equals(digest);
    }

    private static Chunk chunk(byte[] file, int start, int end) {
        byte[] content = Arrays.copyOfRange(file, start, end);
        return new Chunk(Sha256.hex(content), content);
    }

    private static boolean isBoundary(long[] recent, int line) {
        long mixed = FNV_OFFSET;
        for (int before = CONTEXT_LINES; before >= 0; before--) {
            int index = line - before;
            long hash = index < 0 ? 0 : recent[index % recent.length];
            mixed = (mixed ^ hash) * FNV_PRIME;
            mixed ^= mixed >>> 29;
        }
        return Long.remainderUnsigned(mixed, LINES_PER_BOUNDARY) == 0;
    }

    private static int endOfLine(byte[] file, int start) {
        int position = start;
        while (position < file.length && file[position] != '\n') {
            position++;
        }
        return Math.min(position + 1, file.length);
    }

    private static long hash(byte[] file, int start, int end) {
        long hash = FNV_OFFSET;
        for (int index = start; index < end; index++) {
            hash = (hash ^ (file[index] & 0xff)) * FNV_PRIME;
        }
        return hash;
    }
}
