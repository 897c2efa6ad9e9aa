/**
 * Messages between hosts: frames with MessagePack bodies over TCP, mutual authentication with the fleet secret, and
 * calls with a timeout. A host sends its requests only over links that it opened itself, so a call does not depend on
 * whether the peer can open a connection in the other direction.
 */
@NullMarked
package org.auburnhoist.peer;

import org.jspecify.annotations.NullMarked;
