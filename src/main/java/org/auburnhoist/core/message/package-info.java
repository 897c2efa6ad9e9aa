/** Records that hosts exchange; each is carried in one frame. */
@NullMarked
package org.auburnhoist.core.message;

import org.jspecify.annotations.NullMarked;
