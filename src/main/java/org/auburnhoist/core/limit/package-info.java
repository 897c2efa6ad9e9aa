/** Rates and bursts of teams, counted over all hosts together. */
@NullMarked
package org.auburnhoist.core.limit;

import org.jspecify.annotations.NullMarked;
