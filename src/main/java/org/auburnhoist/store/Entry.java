package org.auburnhoist.store;

import org.auburnhoist.core.StorePosition;

/**
 * A stored key.
 *
 * @param key the key
 * @param value its value
 * @param position the store's position at its last modification
 */
@SuppressWarnings("ArrayRecordComponent")
public record Entry(String key, byte[] value, StorePosition position) {}
