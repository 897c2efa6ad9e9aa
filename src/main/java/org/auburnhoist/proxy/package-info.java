/** HTTP/1.1 towards callers and upstreams, streaming in both directions. */
@NullMarked
package org.auburnhoist.proxy;

import org.jspecify.annotations.NullMarked;
