/** Local fleets, load, experiments and measurements. */
@NullMarked
package org.auburnhoist.load;

import org.jspecify.annotations.NullMarked;
