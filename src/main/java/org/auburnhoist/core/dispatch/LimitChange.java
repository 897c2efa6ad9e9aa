package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.message.StatedLimit;

/**
 * A change of the rate of requests that a server accepts, as seen by a dispatcher.
 *
 * @param server the server's ID
 * @param limit the new limit
 * @param previous the earlier limit
 * @param granted number of requests that were granted to the server under the earlier limit
 */
public record LimitChange(String server, StatedLimit limit, StatedLimit previous, long granted) {}
