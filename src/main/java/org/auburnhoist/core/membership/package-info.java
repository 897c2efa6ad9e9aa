/** Fleet membership: the roster of hosts, the freshness of a host's information and the decisions based on them. */
@NullMarked
package org.auburnhoist.core.membership;

import org.jspecify.annotations.NullMarked;
