package org.auburnhoist.core.message;

/**
 * Asks for one chunk of a configuration file.
 *
 * @param digest lower-case hexadecimal SHA-256 of the chunk
 */
public record ChunkRequest(String digest) implements Message {}
