package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.StatedLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a malformed notice of a server that stops requests to it or to any other server. */
class ServerNoticeDecoderTest {
    private static List<Map.Entry<String, String>> headers(String name, String... values) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (String value : values) {
            headers.add(Map.entry(name, value));
        }
        return headers;
    }

    @ParameterizedTest
    @CsvSource({"2, 2000", "0.25, 250", "0, 0", "86400, 86400000"})
    void aPauseIsDecoded(String value, long millis) {
        assertEquals(new ServerNotice(false, millis), ServerNoticeDecoder.decode(503, headers("Retry-After", value)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "", "NaN", "0x1p3", "1e3", "86401", "Wed, 21 Oct 2026 07:28:00 GMT", "9999999999"})
    void aMalformedPauseIsIgnored(String value) {
        assertEquals(ServerNotice.NONE, ServerNoticeDecoder.decode(503, headers("Retry-After", value)));
    }

    @Test
    void aPauseAppliesOnlyIfTheResponseRejectsTheRequest() {
        assertEquals(ServerNotice.NONE, ServerNoticeDecoder.decode(500, headers("Retry-After", "2")));
        assertEquals(ServerNotice.NONE, ServerNoticeDecoder.decode(200, headers("Retry-After", "2")));
    }

    @Test
    void repeatedHeadersApplyOnlyIfTheyAgree() {
        assertEquals(new ServerNotice(false, 2_000), ServerNoticeDecoder.decode(503, headers("Retry-After", "2", "2")));
        assertEquals(ServerNotice.NONE, ServerNoticeDecoder.decode(503, headers("Retry-After", "2", "3")));
        assertEquals(new ServerNotice(true, 0), ServerNoticeDecoder.decode(200, headers("server-leaving", "1", "1")));
        assertEquals(ServerNotice.NONE, ServerNoticeDecoder.decode(200, headers("Server-Leaving", "1", "0")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "true", "yes", "11", "-1", ""})
    void onlyTheValueOneMeansThatTheServerIsLeaving(String value) {
        assertEquals(ServerNotice.NONE, ServerNoticeDecoder.decode(200, headers("Server-Leaving", value)));
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "1.2, 1.2", "0.05, 0.05", "1000000, 1000000", "1.2000000000000002, 1.2000000000000002"})
    void aLimitIsDecoded(String value, double requestsPerSecond) {
        assertEquals(
                StatedLimit.of(requestsPerSecond), ServerNoticeDecoder.decodeLimit(headers("Server-Limit", value)));
    }

    /** Guards against a malformed limit that sets one, or withdraws the one that the server has named before. */
    @ParameterizedTest
    @ValueSource(strings = {"-1", "0", "0.0", "", "NaN", "Infinity", "0x1p3", "1e3", "1.", "1,2", "1000001", "1 2"})
    void aMalformedLimitSaysNothing(String value) {
        assertEquals(StatedLimit.UNKNOWN, ServerNoticeDecoder.decodeLimit(headers("Server-Limit", value)));
    }

    @Test
    void aRepeatedLimitAppliesOnlyIfItsValuesAgree() {
        assertEquals(StatedLimit.of(2), ServerNoticeDecoder.decodeLimit(headers("server-limit", "2", "2")));
        assertEquals(StatedLimit.UNKNOWN, ServerNoticeDecoder.decodeLimit(headers("Server-Limit", "2", "3")));
    }

    @Test
    void aMissingLimitWithdrawsTheEarlierOne() {
        assertEquals(StatedLimit.UNLIMITED, ServerNoticeDecoder.decodeLimit(headers("Server-Leaving", "1")));
    }

    /** Guards against callers taking a server's notice about itself for one of the fleet. */
    @Test
    void noticesOfServersAreNotForwardedToCallers() {
        List<Map.Entry<String, String>> headers = List.of(
                Map.entry("Server-Leaving", "1"),
                Map.entry("Retry-After", "7"),
                Map.entry("server-limit", "1.5"),
                Map.entry("X-Response-Signature", "s"));
        assertEquals(
                List.of(Map.entry("X-Response-Signature", "s")),
                new PlatformWireRules().callerResponseHeaders(headers));
    }
}
