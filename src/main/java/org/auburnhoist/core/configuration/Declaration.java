package org.auburnhoist.core.configuration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A declaration of a file.
 *
 * @param place where it stands
 * @param value the declared value, or null if findings were reported about it
 * @param references names in it that must be declared elsewhere
 */
record Declaration<T>(SourceLocation place, @Nullable T value, List<Reference> references) {}
