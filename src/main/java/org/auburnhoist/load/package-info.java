/** Load generation, experiments and reports. */
@NullMarked
package org.auburnhoist.load;

import org.jspecify.annotations.NullMarked;
