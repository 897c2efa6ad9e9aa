/** Local fleets, load generation, experiments and measurements. */
@NullMarked
package org.auburnhoist.load;

import org.jspecify.annotations.NullMarked;
