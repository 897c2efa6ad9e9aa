/** Choice of upstream servers: slots, fair queueing, health judgement, ejection and quarantine. */
@NullMarked
package org.auburnhoist.core.dispatch;

import org.jspecify.annotations.NullMarked;
