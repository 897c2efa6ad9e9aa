package org.auburnhoist.core.limit;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.HandoverRequest;

/**
 * A handover message to send.
 *
 * @param successor new owner of the shard
 * @param request message with the states of the shard's buckets
 */
public record OutgoingHandover(HostId successor, HandoverRequest request) {}
