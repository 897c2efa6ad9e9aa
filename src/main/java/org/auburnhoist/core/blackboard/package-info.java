/** The control state of a host, shared by its controllers, and the immutable snapshots for its traffic threads. */
@NullMarked
package org.auburnhoist.core.blackboard;

import org.jspecify.annotations.NullMarked;
