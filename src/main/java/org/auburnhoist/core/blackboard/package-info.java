/** The control state of a host, which its controllers read and write, and the immutable view that traffic reads. */
@NullMarked
package org.auburnhoist.core.blackboard;

import org.jspecify.annotations.NullMarked;
