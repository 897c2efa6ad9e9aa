package org.auburnhoist.core.configuration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A declaration in a file.
 *
 * @param location where the declaration is
 * @param value the declared value, or null if findings were reported about it
 * @param references names in it that must be declared elsewhere
 */
record Declaration<T>(SourceLocation location, @Nullable T value, List<Reference> references) {}
