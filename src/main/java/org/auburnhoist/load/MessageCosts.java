package org.auburnhoist.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.ClaimVerdict;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.core.message.TokenReturn;
import org.auburnhoist.core.operation.OperationId;
import org.auburnhoist.peer.FrameCodec;

/** Measures the size and the CPU time of the peer messages that a request causes. */
final class MessageCosts {
    private static final String TEAM = SyntheticFleet.team(4_711);
    private static final long FINGERPRINT = 0x7f3a_91c2_5d04_e6b8L;

    private final FrameCodec wire = new FrameCodec();

    void run() {
        System.out.println();
        System.out.println("### Messages of a request");
        System.out.println();
        System.out.println("| message | bytes on the wire | encode and authenticate us | check and decode us |");
        System.out.println("|---|---|---|---|");
        messages().forEach(this::measure);
    }

    private void measure(String name, Message message) {
        byte[] frame = wire.encode(message, 5);
        for (int pass = 0; pass < 2; pass++) {
            double encodeMicros = CostMeter.micros(call -> wire.encode(message, call));
            double decodeMicros = CostMeter.micros(call -> wire.decode(frame, 5));
            if (pass == 1) {
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %d | %.2f | %.2f |%n",
                        name,
                        wire.frameSize(message),
                        encodeMicros,
                        decodeMicros);
            }
        }
    }

    private static Map<String, Message> messages() {
        String operation = new OperationId(new HostId("entry-0123", FINGERPRINT), 3_000, FINGERPRINT, 77).encode();
        RecordedResponse recorded = new RecordedResponse(201, CapacityMeasurement.HEADERS, new byte[300], true);
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put("TokenRequest", new TokenRequest(TEAM, 1, 3));
        messages.put("TokenAnswer", new TokenAnswer(true, 3, 0));
        messages.put("TokenReturn", new TokenReturn(TEAM, 1, 2));
        messages.put("Acknowledgement", new Acknowledgement(true));
        messages.put(
                "SlotRequest",
                new SlotRequest("service-311", "route-2711", TEAM, TrafficClass.LOOKUP, 3_000, FINGERPRINT, List.of()));
        messages.put("SlotAnswer", new SlotAnswer(SlotVerdict.GRANTED, "service-311-14", FINGERPRINT, 0));
        messages.put("SlotRelease", new SlotRelease("service-311", FINGERPRINT, AttemptOutcome.SUCCESS, 41_000));
        messages.put("ClaimRequest", new ClaimRequest(operation, TEAM, FINGERPRINT, 90_000));
        messages.put("ClaimAnswer, granted", new ClaimAnswer(ClaimVerdict.GRANTED, null));
        messages.put(
                "ClaimOutcome, answer of 300 bytes",
                new ClaimOutcome(operation, 90_000, ClaimResult.ANSWERED, recorded));
        return messages;
    }
}
