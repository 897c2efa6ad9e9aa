package org.auburnhoist.core.limit;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.HandoverRequest;

/**
 * A handover to be sent.
 *
 * @param successor new owner of the shards
 * @param request message with their levels
 */
public record OutgoingHandover(HostId successor, HandoverRequest request) {}
