/** The platform's key-value store and host list, as the fleet uses them. */
@NullMarked
package org.auburnhoist.store;

import org.jspecify.annotations.NullMarked;
