/** Routes by host name and path prefix, teams and their keys, as one immutable traffic configuration. */
@NullMarked
package org.auburnhoist.core.routing;

import org.jspecify.annotations.NullMarked;
