/** The immutable traffic configuration: routes by host name and path prefix, teams and their keys. */
@NullMarked
package org.auburnhoist.core.routing;

import org.jspecify.annotations.NullMarked;
