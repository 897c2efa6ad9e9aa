package org.auburnhoist.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.ClaimVerdict;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.PullAnswer;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.ReportedLimit;
import org.auburnhoist.core.message.SchedulingParameters;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.core.message.StatusDigest;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against fields that are lost in encoding, malformed input that fails with an unexpected exception or exhausts
 * the memory, and replayed frames.
 */
class MessageCodecTest {
    private static final List<Message> MESSAGES = List.of(
            new PullRequest(3, Long.MAX_VALUE),
            new TokenRequest("members", 1, 7),
            new TokenAnswer(true, 0, 250),
            new ClaimRequest("operation", "members", -1, 5),
            new ClaimAnswer(ClaimVerdict.RUNNING, null),
            new SlotRequest("ledger", "book", "members", TrafficClass.BOOKING, 1500, 42, List.of("ledger-1")),
            new SlotRequest(
                    "ledger",
                    "book",
                    "members",
                    TrafficClass.BOOKING,
                    1500,
                    42,
                    List.of(),
                    new SchedulingParameters(3, 800, 2, "cypress", List.of("i-1", "i-2"), List.of("i-3"))),
            new SlotAnswer(SlotVerdict.GRANTED, "ledger-2", "10.0.0.1:80", 9, 0),
            new SlotAnswer(SlotVerdict.GRANTED, "ledger-2", "10.0.0.1:80", 9, 0)
                    .withServersPosition(new StorePosition(3, 84)),
            new SlotRequest(
                    "ledger",
                    "book",
                    "members",
                    TrafficClass.BOOKING,
                    1500,
                    42,
                    List.of(),
                    new SchedulingParameters(
                            3,
                            800,
                            2,
                            "cypress",
                            List.of(),
                            List.of(),
                            List.of(new ReportedLimit("ledger-1", 5, 1.25, 300)))),
            new StatusReport(true, 12, new StorePosition(2, 77), 1L << 60, new StorePosition(3, 78)),
            new SlotRelease("ledger", 9, AttemptOutcome.TIMEOUT, 1_500_000),
            new SlotRelease("ledger", 9, AttemptOutcome.SUCCESS, 1, new ServerNotice(true, 250, StatedLimit.of(1.25))),
            new SlotRelease("ledger", 9, AttemptOutcome.SUCCESS, 1, new ServerNotice(false, 0, StatedLimit.UNLIMITED)),
            new Acknowledgement(true));

    @Test
    void everyFieldIsEncodedAndDecoded() throws Exception {
        long correlationId = 0;
        for (Message message : MESSAGES) {
            MessageCodec.Envelope decoded = MessageCodec.decode(MessageCodec.encode(++correlationId, message));
            assertEquals(new MessageCodec.Envelope(correlationId, message), decoded);
        }
    }

    @Test
    void aStatusDigestIsEncodedAndDecoded() throws Exception {
        StatusDigest digest = new StatusDigest(
                -1,
                12,
                new byte[] {1},
                new StorePosition(2, 77),
                new byte[] {2, 3},
                new StorePosition(3, 78),
                new byte[] {},
                79,
                new byte[] {0, 1, -1});
        StatusDigest decoded = (StatusDigest)
                MessageCodec.decode(MessageCodec.encode(0, digest)).message();
        assertEquals(-1, decoded.storeAgeMillis());
        assertArrayEquals(digest.configuration(), decoded.configuration());
        assertEquals(digest.serversPosition(), decoded.serversPosition());
        assertArrayEquals(digest.servers(), decoded.servers());
        assertEquals(digest.membersPosition(), decoded.membersPosition());
        assertEquals(79, decoded.memberNamesHash());
        assertArrayEquals(digest.contactAges(), decoded.contactAges());
    }

    @Test
    void arraysAreEncodedAndDecoded() throws Exception {
        PullAnswer answer = new PullAnswer(1, 2, 255, new byte[] {0, -1}, new byte[] {1}, new byte[] {});
        PullAnswer decoded =
                (PullAnswer) MessageCodec.decode(MessageCodec.encode(0, answer)).message();
        assertArrayEquals(answer.memberAges(), decoded.memberAges());
        assertEquals(255, decoded.storeAge());
        RecordedResponse recorded =
                new RecordedResponse(201, List.of(Map.entry("Location", "/bookings/7")), new byte[] {1, 2}, true);
        ClaimOutcome outcome = (ClaimOutcome) MessageCodec.decode(
                        MessageCodec.encode(0, new ClaimOutcome("operation", 5, ClaimResult.ANSWERED, recorded)))
                .message();
        assertEquals(recorded.headers(), outcome.recorded().headers());
        assertArrayEquals(recorded.body(), outcome.recorded().body());
    }

    @Test
    void corruptMessagesFailOnlyAsMalformed() {
        Random random = new Random(20261204);
        for (int round = 0; round < 20_000; round++) {
            Message message = MESSAGES.get(random.nextInt(MESSAGES.size()));
            byte[] corrupted = corrupt(MessageCodec.encode(round, message), random);
            try {
                MessageCodec.decode(corrupted);
            } catch (MalformedMessageException expected) {
                // The documented exception for corrupt input; any other exception fails the test.
            }
        }
    }

    @Test
    void excessiveLengthsAreRejectedBeforeMemoryIsAllocated() {
        byte[] binaryHeaderOfTwoGigabytes = {1, 6, 0, (byte) 0xa0, (byte) 0xc3, (byte) 0xc6, 0x7f, -1, -1, -1};
        assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(binaryHeaderOfTwoGigabytes));
    }

    @Test
    void aFrameWithAnotherSequenceNumberOrSenderIsRejected() throws Exception {
        byte[] key = Handshake.secretBytes("a secret of the fleet");
        byte[] frame = Handshake.appendMac(key, Handshake.Role.CONNECTING, 4, new byte[] {1, 2, 3});
        assertArrayEquals(new byte[] {1, 2, 3}, Handshake.verifyAndRemoveMac(key, Handshake.Role.CONNECTING, 4, frame));
        assertThrows(
                MalformedMessageException.class,
                () -> Handshake.verifyAndRemoveMac(key, Handshake.Role.CONNECTING, 5, frame));
        assertThrows(
                MalformedMessageException.class,
                () -> Handshake.verifyAndRemoveMac(key, Handshake.Role.ACCEPTING, 4, frame));
    }

    private static byte[] corrupt(byte[] content, Random random) {
        byte[] corrupted = Arrays.copyOf(content, random.nextInt(content.length + 4));
        for (int change = random.nextInt(4); change > 0 && corrupted.length > 0; change--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
        }
        return corrupted;
    }
}
