package org.auburnhoist.store;

/**
 * A stored key.
 *
 * @param key the key
 * @param value its value
 * @param revision store revision of its last modification
 */
@SuppressWarnings("ArrayRecordComponent")
public record Entry(String key, byte[] value, long revision) {}
