/** Load generation and experiments. */
@NullMarked
package org.auburnhoist.load;

import org.jspecify.annotations.NullMarked;
