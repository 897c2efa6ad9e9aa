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
 * Passes levels between the former and the new owner of shards.
 *
 * <p>The former owner exports after it adopted the roster that names the new owner, so it no longer grants. Each
 * message holds one shard and may be sent again; only the first has an effect.
 *
 * <pre>{@code
 * for (PlannedHandover handover : shardHandover.export(now)) {
 *     send(handover.successor(), handover.request());
 * }
 * }</pre>
 */
public final class ShardHandover {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CONTENT_LIMIT = 1_900_000;

    private final ShardOwnership ownership;
    private final TokenBuckets buckets;

    /** Hands over between the given owner state and that of other hosts. */
    public ShardHandover(ShardOwnership ownership, TokenBuckets buckets) {
        this.ownership = ownership;
        this.buckets = buckets;
    }

    /** Returns the messages for all shards that the newest roster moved from this host to another. */
    public List<OutgoingHandover> export(long nowNanos) {
        List<OutgoingHandover> result = new ArrayList<>();
        for (int shard = 0; shard < ownership.shardCount(); shard++) {
            Optional<OwnershipPeriod> held = ownership.takeForHandover(shard, nowNanos);
            if (held.isPresent()) {
                export(shard, held.get(), nowNanos).ifPresent(result::add);
            }
        }
        return result;
    }

    /**
     * Accepts a message from a former owner.
     *
     * @param from sender, as authenticated
     * @return whether the levels are now in use
     */
    public boolean accept(HostId from, HandoverRequest request, long nowNanos) {
        if (request.kind() != HandoverKind.BUCKET_LEVELS || request.content().length > CONTENT_LIMIT) {
            return false;
        }
        try {
            return accept(from, MAPPER.readTree(request.content()), nowNanos);
        } catch (IOException malformed) {
            return false;
        }
    }

    private Optional<OutgoingHandover> export(int shard, OwnershipPeriod held, long nowNanos) {
        List<BucketLevel> levels = buckets.take(shard, held, nowNanos);
        ObjectNode root = MAPPER.createObjectNode()
                .put("shard", shard)
                .put("ownedSinceVersion", ownership.currentShard(shard).ownedSinceVersion())
                .put("startsFull", held.startsFull())
                .put("heldNanos", Math.max(0, nowNanos - held.startNanos()));
        ArrayNode list = root.putArray("levels");
        levels.forEach(level -> list.addObject()
                .put("team", level.team())
                .put("bucket", level.bucket())
                .put("ratePerSecond", level.limits().ratePerSecond())
                .put("capacity", level.limits().capacity())
                .put("level", level.level())
                .put("ahead", level.ahead()));
        try {
            byte[] content = MAPPER.writeValueAsBytes(root);
            // Levels that do not fit into one frame are lost; the successor then starts from zero.
            return content.length > CONTENT_LIMIT
                    ? Optional.empty()
                    : Optional.of(new OutgoingHandover(
                            ownership.currentShard(shard).owner(),
                            new HandoverRequest(HandoverKind.BUCKET_LEVELS, content)));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a tree of plain values cannot be written", impossible);
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
        List<BucketLevel> levels = new ArrayList<>();
        for (JsonNode node : root.path("levels")) {
            levels.add(read(node));
        }
        OwnershipPeriod start = new OwnershipPeriod(since, nowNanos - heldNanos, startsFull);
        if (!ownership.acceptHandover(shard, from, since, start)) {
            return false;
        }
        buckets.put(shard, start, levels, nowNanos);
        return true;
    }

    private static BucketLevel read(JsonNode node) {
        BucketLimits limits = new BucketLimits(
                node.path("ratePerSecond").asDouble(0), node.path("capacity").asInt(0));
        return new BucketLevel(
                node.path("team").asText(),
                node.path("bucket").asInt(0),
                limits,
                node.path("level").asDouble(0),
                node.path("ahead").asInt(0));
    }
}
