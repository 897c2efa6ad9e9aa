package org.auburnhoist.core.limit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.HandoverRequest;
import org.auburnhoist.core.message.HandoverRequest.HandoverKind;

/**
 * Transfers the states of buckets from the former to the new owner of a shard.
 *
 * <p>The former owner exports after it has adopted the roster that names the new owner, so it no longer grants tokens.
 * Each message holds one shard and may be sent repeatedly; only the first copy has an effect.
 *
 * <pre>{@code
 * for (OutgoingHandover handover : shardHandover.export(now)) {
 *     send(handover.successor(), handover.request());
 * }
 * }</pre>
 */
public final class ShardHandover {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_CONTENT_BYTES = 1_900_000;

    private final ShardOwnership ownership;
    private final TokenBuckets buckets;

    /** Transfers states between the given buckets and those of other hosts. */
    public ShardHandover(ShardOwnership ownership, TokenBuckets buckets) {
        this.ownership = ownership;
        this.buckets = buckets;
    }

    /** Returns the messages for all shards that the newest roster moved from this host to another. */
    public List<OutgoingHandover> export(long nowNanos) {
        List<OutgoingHandover> result = new ArrayList<>();
        for (int shard = 0; shard < ownership.shardCount(); shard++) {
            Optional<OwnershipPeriod> period = ownership.takeForHandover(shard, nowNanos);
            if (period.isPresent()) {
                export(shard, period.get(), nowNanos).ifPresent(result::add);
            }
        }
        return result;
    }

    /**
     * Accepts a message from a former owner.
     *
     * @param from sender, as authenticated
     * @return whether the states are now in use
     */
    public boolean accept(HostId from, HandoverRequest request, long nowNanos) {
        if (request.kind() != HandoverKind.BUCKET_LEVELS || request.content().length > MAX_CONTENT_BYTES) {
            return false;
        }
        try {
            return accept(from, MAPPER.readTree(request.content()), nowNanos);
        } catch (IOException malformed) {
            return false;
        }
    }

    private Optional<OutgoingHandover> export(int shard, OwnershipPeriod period, long nowNanos) {
        List<BucketState> states = buckets.removeShard(shard, period, nowNanos);
        ObjectNode root = MAPPER.createObjectNode()
                .put("shard", shard)
                .put("ownedSinceVersion", ownership.currentShard(shard).ownedSinceVersion())
                .put("startsFull", period.startsFull())
                .put("heldNanos", Math.max(0, nowNanos - period.startNanos()));
        ArrayNode list = root.putArray("levels");
        states.forEach(state -> list.addObject()
                .put("team", state.team())
                .put("bucket", state.bucket())
                .put("ratePerSecond", state.limits().ratePerSecond())
                .put("capacity", state.limits().capacity())
                .put("level", state.level())
                .put("ahead", state.prefetched()));
        try {
            byte[] content = MAPPER.writeValueAsBytes(root);
            // States that do not fit into one frame are lost; the buckets of the successor then start empty.
            return content.length > MAX_CONTENT_BYTES
                    ? Optional.empty()
                    : Optional.of(new OutgoingHandover(
                            ownership.currentShard(shard).owner(),
                            new HandoverRequest(HandoverKind.BUCKET_LEVELS, content)));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot serialize the states of a shard's buckets", impossible);
        }
    }

    private boolean accept(HostId from, JsonNode root, long nowNanos) {
        int shard = root.path("shard").asInt(-1);
        if (shard < 0 || shard >= ownership.shardCount() || !root.path("levels").isArray()) {
            return false;
        }
        long since = root.path("ownedSinceVersion").asLong(-1);
        long heldNanos = Math.max(0, root.path("heldNanos").asLong(0));
        boolean startsFull = root.path("startsFull").asBoolean(false);
        List<BucketState> states = new ArrayList<>();
        for (JsonNode node : root.path("levels")) {
            states.add(readBucket(node));
        }
        OwnershipPeriod period = new OwnershipPeriod(since, nowNanos - heldNanos, startsFull);
        if (!ownership.acceptHandover(shard, from, since, period)) {
            return false;
        }
        buckets.restoreShard(shard, period, states, nowNanos);
        return true;
    }

    private static BucketState readBucket(JsonNode node) {
        BucketLimits limits = new BucketLimits(
                node.path("ratePerSecond").asDouble(0), node.path("capacity").asInt(0));
        return new BucketState(
                node.path("team").asText(),
                node.path("bucket").asInt(0),
                limits,
                node.path("level").asDouble(0),
                node.path("ahead").asInt(0));
    }
}
