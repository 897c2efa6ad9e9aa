/** Rate limits of teams, enforced over all hosts together. */
@NullMarked
package org.auburnhoist.core.limit;

import org.jspecify.annotations.NullMarked;
