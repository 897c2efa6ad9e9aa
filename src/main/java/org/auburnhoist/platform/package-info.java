/**
 * The adapter to the users' platform: its paths, headers, keys and fields are named here and nowhere else. It
 * translates and decides nothing.
 */
@NullMarked
package org.auburnhoist.platform;

import org.jspecify.annotations.NullMarked;
