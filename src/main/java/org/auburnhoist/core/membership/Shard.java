package org.auburnhoist.core.membership;

import org.auburnhoist.core.HostId;
import org.jspecify.annotations.Nullable;

/**
 * Ownership of one shard of the teams' token buckets.
 *
 * @param owner host that grants tokens from the shard's buckets
 * @param ownedSinceVersion roster version at which the owner got the shard, 0 if the shard never had another owner
 * @param formerOwner live former owner that is expected to hand over its bucket levels, or null
 * @param formerSinceVersion roster version at which the former owner got the shard. A host that missed a change of
 *     owner in between holds levels of an earlier ownership, which must not be handed over.
 */
public record Shard(
        HostId owner, long ownedSinceVersion, @Nullable HostId formerOwner, long formerSinceVersion) {

    static Shard withoutHandover(HostId owner, long ownedSinceVersion) {
        return new Shard(owner, ownedSinceVersion, null, 0);
    }
}
