package org.auburnhoist.core.configuration;

import org.jspecify.annotations.Nullable;

/**
 * A declaration of a file.
 *
 * @param place where it stands
 * @param value the declared value, or null if findings were reported about it
 */
record Declared<T>(Place place, @Nullable T value) {}
