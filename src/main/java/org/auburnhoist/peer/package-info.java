/**
 * Messages between hosts: TCP frames with MessagePack bodies, mutual authentication with a fleet secret, and calls with
 * a time limit. Each host sends its own requests over links that it opened, so it does not matter whether the peer can
 * open a connection in the other direction.
 */
@NullMarked
package org.auburnhoist.peer;

import org.jspecify.annotations.NullMarked;
