/** Selection of upstream servers: slots, fair queueing, outlier detection, ejection and quarantine. */
@NullMarked
package org.auburnhoist.core.dispatch;

import org.jspecify.annotations.NullMarked;
