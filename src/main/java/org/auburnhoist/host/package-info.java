/**
 * The entry host process: one control thread runs the controllers on the blackboard, traffic threads run the request
 * policy on immutable views of it.
 */
@NullMarked
package org.auburnhoist.host;

import org.jspecify.annotations.NullMarked;
