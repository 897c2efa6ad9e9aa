/** Decision logic without I/O, threads, clocks or randomness of its own. */
@NullMarked
package org.auburnhoist.core;

import org.jspecify.annotations.NullMarked;
