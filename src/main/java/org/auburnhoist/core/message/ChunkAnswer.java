package org.auburnhoist.core.message;

/**
 * Answer to a {@link ChunkRequest}: one chunk of a configuration file. Between hosts on a platform, a copy of a record
 * of the fleet.
 *
 * @param digest lower-case hexadecimal SHA-256 of the chunk, or the record's name, a colon and the hash of the copy
 * @param found whether the answering host has it, or the copy is sent
 * @param content the chunk or copy, empty if not found
 */
@SuppressWarnings("ArrayRecordComponent")
public record ChunkAnswer(String digest, boolean found, byte[] content) implements Message {}
