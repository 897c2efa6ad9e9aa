package org.auburnhoist.core.message;

/**
 * Answer to a {@link ChunkRequest}: one chunk of a configuration file.
 *
 * @param digest lower-case hexadecimal SHA-256 of the chunk
 * @param found whether the answering host has it
 * @param content the chunk, empty if not found
 */
@SuppressWarnings("ArrayRecordComponent")
public record ChunkAnswer(String digest, boolean found, byte[] content) implements Message {}
