/** Roster of hosts, freshness of a host's knowledge, and the decisions that follow from them. */
@NullMarked
package org.auburnhoist.core.membership;

import org.jspecify.annotations.NullMarked;
