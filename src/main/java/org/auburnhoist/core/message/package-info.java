/** Messages that hosts exchange; each is sent in one frame. */
@NullMarked
package org.auburnhoist.core.message;

import org.jspecify.annotations.NullMarked;
