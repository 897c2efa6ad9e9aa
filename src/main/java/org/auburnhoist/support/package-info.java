/** Logging and resource management, used by all packages. */
@NullMarked
package org.auburnhoist.support;

import org.jspecify.annotations.NullMarked;
