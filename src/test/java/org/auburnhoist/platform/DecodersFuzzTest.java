package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomGenerator;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.store.Entry;

/**
 * Guards against entries of other writers that name a server, or whose decoding ends in another way than with the
 * exception that readers of the store expect.
 */
class DecodersFuzzTest {
    private static final int SAMPLES = 2_000;
    private static final long SAMPLE_SEED = 7;
    /** Choices of a field below the number of wrong values take one of these or leave the field out. */
    private static final int CHOICES = 120;

    private static final ObjectNode WHOLE = whole();
    private static final List<String> FIELDS =
            List.of("service", "address", "zone", "version", "slots", "state", "warmup_left_ms", "sequence", "born");
    /** No field can have one of these values. */
    private static final List<String> WRONG =
            List.of("null", "true", "{}", "[\"pay\"]", "-7", "1e999", "99999999999999999999");

    private static final String CONFIGURATION = """
            {"version":"r12","routes":[{"name":"r-1","host":"one.example","path_prefix":"/a/","kind":"unsafe",
             "timeout_ms":1500,"service":"pay"},{"name":"r-2","host":"two.example","path_prefix":"/b/","kind":"safe",
             "weighted_backends":[{"service":"look","weight":90}]}],"services":[{"name":"look"},{"name":"pay"}],
             "tenants":[{"name":"team-1","api_keys":["k1"],"priority":0,"rate_per_s":31,"burst_size":30}]}""";

    private interface Decoder {
        UpstreamServer decode(String text) throws IOException;
    }

    private record Written(String text, boolean whole) {}

    private static ObjectNode whole() {
        ObjectNode root = Json.object();
        root.put("service", "pay").put("address", "10.0.0.9:8080").put("zone", "z");
        root.put("version", "v1").put("slots", 2).put("state", "ready");
        return root.put("warmup_left_ms", 800).put("sequence", 4).put("born", 1781170000000L);
    }

    @Provide
    Arbitrary<Written> entries() {
        return Arbitraries.integers()
                .between(0, CHOICES - 1)
                .list()
                .ofSize(FIELDS.size())
                .map(DecodersFuzzTest::written);
    }

    private static Written written(List<Integer> choices) {
        List<String> members = new ArrayList<>();
        boolean isWhole = true;
        for (int index = 0; index < FIELDS.size(); index++) {
            JsonNode value = WHOLE.get(FIELDS.get(index));
            int choice = choices.get(index);
            isWhole &= choice > WRONG.size() + 1;
            if (choice == WRONG.size() + 1) {
                continue;
            }
            String text = choice > WRONG.size()
                    ? Json.write(value)
                    : choice < WRONG.size() ? WRONG.get(choice) : value.isNumber() ? "\"4\"" : "7";
            members.add("\"" + FIELDS.get(index) + "\":" + text);
        }
        return new Written("{" + String.join(",", members) + "}", isWhole);
    }

    /** Returns what is wrong with how a decoder treats an entry, empty if nothing is. */
    private static String breach(Decoder decoder, Written entry) {
        try {
            UpstreamServer server = decoder.decode(entry.text());
            return entry.whole() ? "" : "used " + server + " by " + entry.text();
        } catch (IOException refused) {
            return entry.whole() ? "refused " + entry.text() : "";
        } catch (RuntimeException unexpected) {
            return "threw " + unexpected + " for " + entry.text();
        }
    }

    private static UpstreamServer decode(String text) throws IOException {
        return RegistrationDecoder.decode("servers/", entry(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static Entry entry(byte[] value) {
        return new Entry("servers/i-1", value, StorePosition.ofRevision(3));
    }

    @Property(tries = SAMPLES, seed = "39")
    void onlyAWholeEntryNamesAServer(@ForAll("entries") Written entry) {
        assertEquals("", breach(DecodersFuzzTest::decode, entry));
    }

    /** Guards against a fuzzer that finds nothing: a decoder that does without one field must be found. */
    @Example
    void aDecoderThatDoesWithoutAFieldIsFound() {
        for (String field : FIELDS) {
            Decoder faulty = text -> {
                ObjectNode root = (ObjectNode) Json.readOnly(text.getBytes(StandardCharsets.UTF_8));
                if (!root.has(field)) {
                    root.set(field, WHOLE.get(field));
                }
                return decode(Json.write(root));
            };
            assertTrue(samples().anyMatch(entry -> breach(faulty, entry).startsWith("used")), field);
        }
        assertTrue(samples()
                .allMatch(entry -> breach(DecodersFuzzTest::decode, entry).isEmpty()));
    }

    private Stream<Written> samples() {
        Random random = new Random(SAMPLE_SEED);
        RandomGenerator<Written> generator = entries().generator(SAMPLES);
        return Stream.generate(() -> generator.next(random).value()).limit(SAMPLES);
    }

    /** Guards against a thread that ends because of bytes that are no document. */
    @Property(tries = SAMPLES, seed = "40")
    void anyBytesAreDecodedOrRefused(@ForAll byte[] bytes) {
        assertDecodedOrRefused(bytes);
    }

    /** Guards against a thread that ends because a part of a document was replaced. */
    @Property(tries = SAMPLES, seed = "41")
    void aDamagedDocumentIsDecodedOrRefused(
            @ForAll boolean configuration, @ForAll int place, @ForAll int length, @ForAll("replacements") String text) {
        String document = configuration ? CONFIGURATION : Json.write(WHOLE);
        int from = Math.floorMod(place, document.length());
        int until = Math.min(document.length(), from + Math.floorMod(length, 12));
        String damaged = document.substring(0, from) + text + document.substring(until);
        assertDecodedOrRefused(damaged.getBytes(StandardCharsets.UTF_8));
    }

    @Provide
    Arbitrary<String> replacements() {
        return Arbitraries.of(
                "", "\"", "{", "}", "[", "]", ",", ":", "null", "-1", "1e999", "99999999999999999999", "\\", "\u0000");
    }

    private static void assertDecodedOrRefused(byte[] bytes) {
        List<DocumentDecoder> decoders = List.of(
                document -> RegistrationDecoder.decode("servers/", entry(document)),
                ConfigurationDecoder::decode,
                FleetCodec::member,
                FleetCodec::members,
                FleetCodec::registrations);
        int refused = 0;
        for (DocumentDecoder decoder : decoders) {
            try {
                decoder.decode(bytes);
            } catch (IOException expected) {
                refused++;
            }
        }
        assertTrue(refused >= 1, "one document is none of all kinds");
    }

    private interface DocumentDecoder {
        Object decode(byte[] bytes) throws IOException;
    }
}
