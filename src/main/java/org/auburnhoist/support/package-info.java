/** Small helpers that every part of the process uses. */
@NullMarked
package org.auburnhoist.support;

import org.jspecify.annotations.NullMarked;
