/**
 * Adapter to the users' platform. Only this package names the platform's paths, headers, keys and fields; it
 * translates them and makes no decisions.
 */
@NullMarked
package org.auburnhoist.platform;

import org.jspecify.annotations.NullMarked;
