/**
 * The entry host process: one control thread runs the controllers, which share the blackboard, and traffic threads run
 * the request policy on immutable snapshots of it.
 */
@NullMarked
package org.auburnhoist.host;

import org.jspecify.annotations.NullMarked;
