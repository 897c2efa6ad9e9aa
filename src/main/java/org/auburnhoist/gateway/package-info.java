/**
 * Entry hosts of a fleet that lives on a platform: configuration, registered servers and membership leases are in the
 * platform's store, and duties move with the leases.
 */
@NullMarked
package org.auburnhoist.gateway;

import org.jspecify.annotations.NullMarked;
