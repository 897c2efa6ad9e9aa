/**
 * Entry hosts of a fleet that is deployed on a platform. The platform's store holds the configuration, the registered
 * servers and the membership leases; when the lease of a host ends, its roles pass to other hosts.
 */
@NullMarked
package org.auburnhoist.gateway;

import org.jspecify.annotations.NullMarked;
