package org.auburnhoist.core.membership;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.HostId;

/**
 * Encodes and decodes rosters as JSON.
 *
 * <pre>{@code
 * byte[] bytes = RosterCodec.encode(roster);
 * Either<RosterProblem, Roster> read = RosterCodec.decode(bytes);
 * }</pre>
 */
public final class RosterCodec {
    /** Maximum size of an encoded roster, which is the maximum size of a value in the store. */
    public static final int MAX_BYTES = 1_000_000;

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private RosterCodec() {}

    /** Encodes a roster. */
    public static byte[] encode(Roster roster) {
        ObjectNode root = MAPPER.createObjectNode()
                .put("version", roster.version())
                .put("settledVersion", roster.settledVersion())
                .put("configurationVersion", roster.configurationVersion());
        ArrayNode members = root.putArray("members");
        roster.members().forEach(member -> writeMember(members.addObject(), member));
        ArrayNode removed = root.putArray("removed");
        roster.removed()
                .forEach(former -> removed.addObject()
                        .put("id", write(former.id()))
                        .put("joinedVersion", former.joinedVersion())
                        .put("removedVersion", former.removedVersion()));
        ArrayNode shards = root.putArray("shards");
        roster.shards().forEach(shard -> writeShard(shards.addObject(), shard));
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("failed to write the roster as JSON", impossible);
        }
    }

    /** Decodes a roster and checks that it is consistent. */
    public static Either<RosterProblem, Roster> decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            String message = "has " + bytes.length + " bytes, expected at most " + MAX_BYTES;
            return Either.left(new RosterProblem("roster", message));
        }
        try {
            Roster roster = readRoster(MAPPER.readTree(bytes));
            RosterValidator.validate(roster);
            return Either.right(roster);
        } catch (InvalidRosterException invalid) {
            return Either.left(invalid.problem());
        } catch (IOException malformed) {
            // Jackson's message is not passed on, because it would quote the input.
            return Either.left(new RosterProblem("roster", "is not a JSON document"));
        }
    }

    private static void writeMember(ObjectNode node, Member member) {
        node.put("id", write(member.id()))
                .put("peerAddress", member.peerAddress())
                .put("callerAddress", member.callerAddress())
                .put("dataCentre", member.dataCentre())
                .put("state", member.state().name())
                .put("joinedVersion", member.joinedVersion());
    }

    private static void writeShard(ObjectNode node, Shard shard) {
        node.put("owner", write(shard.owner())).put("ownedSinceVersion", shard.ownedSinceVersion());
        if (shard.formerOwner() != null) {
            node.put("formerOwner", write(shard.formerOwner())).put("formerSinceVersion", shard.formerSinceVersion());
        }
    }

    private static Roster readRoster(JsonNode root) {
        List<Member> members = new ArrayList<>();
        for (JsonNode node : array(root, "members")) {
            members.add(readMember(node, "members[" + members.size() + "]."));
        }
        List<RemovedMember> removed = new ArrayList<>();
        for (JsonNode node : array(root, "removed")) {
            removed.add(readRemoved(node, "removed[" + removed.size() + "]."));
        }
        List<Shard> shards = new ArrayList<>();
        for (JsonNode node : array(root, "shards")) {
            shards.add(readShard(node, "shards[" + shards.size() + "]."));
        }
        return new Roster(
                number(root, "", "version"),
                number(root, "", "settledVersion"),
                number(root, "", "configurationVersion"),
                members,
                removed,
                shards);
    }

    private static Member readMember(JsonNode node, String place) {
        return new Member(
                host(node, place, "id"),
                text(node, place, "peerAddress"),
                text(node, place, "callerAddress"),
                text(node, place, "dataCentre"),
                state(node, place),
                number(node, place, "joinedVersion"));
    }

    private static RemovedMember readRemoved(JsonNode node, String place) {
        return new RemovedMember(
                host(node, place, "id"), number(node, place, "joinedVersion"), number(node, place, "removedVersion"));
    }

    private static Shard readShard(JsonNode node, String place) {
        HostId owner = host(node, place, "owner");
        long since = number(node, place, "ownedSinceVersion");
        if (!node.has("formerOwner")) {
            return Shard.withoutHandover(owner, since);
        }
        return new Shard(owner, since, host(node, place, "formerOwner"), number(node, place, "formerSinceVersion"));
    }

    private static JsonNode array(JsonNode root, String field) {
        JsonNode value = root.path(field);
        if (!value.isArray()) {
            throw new InvalidRosterException(field, "is missing or not an array");
        }
        return value;
    }

    private static long number(JsonNode node, String place, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw new InvalidRosterException(place + field, "is " + shorten(value) + ", expected an integer >= 0");
        }
        return value.longValue();
    }

    private static String text(JsonNode node, String place, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()
                || value.textValue().isBlank()
                || value.textValue().length() > RosterValidator.TEXT_LIMIT) {
            String expected = "expected a string of 1 to " + RosterValidator.TEXT_LIMIT + " characters";
            throw new InvalidRosterException(place + field, "is " + shorten(value) + ", " + expected);
        }
        return value.textValue();
    }

    private static MemberState state(JsonNode node, String place) {
        String text = text(node, place, "state");
        for (MemberState state : MemberState.values()) {
            if (state.name().equals(text)) {
                return state;
            }
        }
        throw new InvalidRosterException(place + "state", "is " + text + ", expected SERVING or LEAVING");
    }

    private static String write(HostId id) {
        return id.toString();
    }

    private static HostId host(JsonNode node, String place, String field) {
        String text = text(node, place, field);
        int separator = text.lastIndexOf('@');
        try {
            if (separator > 0) {
                long incarnation = Long.parseUnsignedLong(text, separator + 1, text.length(), 16);
                return new HostId(text.substring(0, separator), incarnation);
            }
        } catch (NumberFormatException malformed) {
            throw new InvalidRosterException(place + field, "is " + text + ", expected name@incarnation", malformed);
        }
        throw new InvalidRosterException(place + field, "is " + text + ", expected name@incarnation");
    }

    private static String shorten(JsonNode value) {
        String text = value.toString();
        return text.length() <= 40 ? text : text.substring(0, 40) + "...";
    }
}
