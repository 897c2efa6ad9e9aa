package org.auburnhoist.peer;

import static org.auburnhoist.peer.MessageCodec.readBytes;
import static org.auburnhoist.peer.MessageCodec.readEnum;
import static org.auburnhoist.peer.MessageCodec.readFlags;
import static org.auburnhoist.peer.MessageCodec.readListLength;
import static org.auburnhoist.peer.MessageCodec.readRecordedResponse;
import static org.auburnhoist.peer.MessageCodec.readStrings;
import static org.auburnhoist.peer.MessageCodec.writeBytes;
import static org.auburnhoist.peer.MessageCodec.writeFlags;
import static org.auburnhoist.peer.MessageCodec.writeRecordedResponse;
import static org.auburnhoist.peer.MessageCodec.writeStrings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ChunkAnswer;
import org.auburnhoist.core.message.ChunkRequest;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.ClaimVerdict;
import org.auburnhoist.core.message.DocumentAnswer;
import org.auburnhoist.core.message.DocumentKind;
import org.auburnhoist.core.message.DocumentRequest;
import org.auburnhoist.core.message.HandoverRequest;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.PullAnswer;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.core.message.QuotaHandoverRequest;
import org.auburnhoist.core.message.QuotaTakeoverRequest;
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
import org.auburnhoist.core.message.TokenReturn;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Wire format of the fields of one kind of message.
 *
 * @param kind number of this kind on the wire; never reused for another kind
 * @param type the message's class
 * @param writer writes the fields in order
 * @param reader reads the fields in the same order
 */
record MessageFormat<T extends Message>(int kind, Class<T> type, Writer<T> writer, Reader<T> reader) {
    private static final List<MessageFormat<? extends Message>> FORMATS = List.of(
            new MessageFormat<>(1, PullRequest.class, MessageFormat::writePullRequest, MessageFormat::readPullRequest),
            new MessageFormat<>(2, PullAnswer.class, MessageFormat::writePullAnswer, MessageFormat::readPullAnswer),
            new MessageFormat<>(
                    3,
                    DocumentRequest.class,
                    (message, packer) ->
                            packer.packInt(message.kind().ordinal()).packLong(message.version()),
                    in -> new DocumentRequest(readEnum(in, DocumentKind.values()), in.unpackLong())),
            new MessageFormat<>(
                    4,
                    DocumentAnswer.class,
                    (message, packer) -> {
                        packer.packInt(message.kind().ordinal()).packLong(message.version());
                        writeBytes(packer, message.content());
                    },
                    in -> new DocumentAnswer(readEnum(in, DocumentKind.values()), in.unpackLong(), readBytes(in))),
            new MessageFormat<>(
                    5,
                    ChunkRequest.class,
                    (message, packer) -> packer.packString(message.digest()),
                    in -> new ChunkRequest(in.unpackString())),
            new MessageFormat<>(
                    6,
                    ChunkAnswer.class,
                    (message, packer) -> {
                        packer.packString(message.digest()).packBoolean(message.found());
                        writeBytes(packer, message.content());
                    },
                    in -> new ChunkAnswer(in.unpackString(), in.unpackBoolean(), readBytes(in))),
            new MessageFormat<>(
                    7,
                    TokenRequest.class,
                    (message, packer) -> packer.packString(message.team())
                            .packInt(message.bucket())
                            .packInt(message.wanted()),
                    in -> new TokenRequest(in.unpackString(), in.unpackInt(), in.unpackInt())),
            new MessageFormat<>(
                    8,
                    TokenAnswer.class,
                    (message, packer) -> packer.packBoolean(message.owner())
                            .packInt(message.granted())
                            .packLong(message.retryAfterMillis())
                            .packString(message.ownerAddress()),
                    in -> new TokenAnswer(in.unpackBoolean(), in.unpackInt(), in.unpackLong(), in.unpackString())),
            new MessageFormat<>(
                    9,
                    TokenReturn.class,
                    (message, packer) -> packer.packString(message.team())
                            .packInt(message.bucket())
                            .packInt(message.count()),
                    in -> new TokenReturn(in.unpackString(), in.unpackInt(), in.unpackInt())),
            new MessageFormat<>(
                    10,
                    ClaimRequest.class,
                    (message, packer) -> packer.packString(message.operationId())
                            .packString(message.team())
                            .packLong(message.fingerprint())
                            .packLong(message.attempt()),
                    in -> new ClaimRequest(in.unpackString(), in.unpackString(), in.unpackLong(), in.unpackLong())),
            new MessageFormat<>(
                    11,
                    ClaimAnswer.class,
                    (message, packer) -> {
                        packer.packInt(message.verdict().ordinal());
                        writeRecordedResponse(packer, message.recorded());
                    },
                    in -> new ClaimAnswer(readEnum(in, ClaimVerdict.values()), readRecordedResponse(in))),
            new MessageFormat<>(
                    12,
                    ClaimOutcome.class,
                    (message, packer) -> {
                        packer.packString(message.operationId())
                                .packLong(message.attempt())
                                .packInt(message.result().ordinal());
                        writeRecordedResponse(packer, message.recorded());
                    },
                    in -> new ClaimOutcome(
                            in.unpackString(),
                            in.unpackLong(),
                            readEnum(in, ClaimResult.values()),
                            readRecordedResponse(in))),
            new MessageFormat<>(13, SlotRequest.class, MessageFormat::writeSlotRequest, MessageFormat::readSlotRequest),
            new MessageFormat<>(
                    14,
                    SlotAnswer.class,
                    (message, packer) -> packer.packInt(message.verdict().ordinal())
                            .packString(message.server())
                            .packString(message.address())
                            .packLong(message.grantId())
                            .packLong(message.retryAfterMillis())
                            .packLong(message.serversPosition().era())
                            .packLong(message.serversPosition().revision()),
                    in -> new SlotAnswer(
                            readEnum(in, SlotVerdict.values()),
                            in.unpackString(),
                            in.unpackString(),
                            in.unpackLong(),
                            in.unpackLong(),
                            readPosition(in))),
            new MessageFormat<>(15, SlotRelease.class, MessageFormat::writeSlotRelease, MessageFormat::readSlotRelease),
            new MessageFormat<>(
                    16,
                    HandoverRequest.class,
                    (message, packer) -> {
                        packer.packInt(message.kind().ordinal());
                        writeBytes(packer, message.content());
                    },
                    in -> new HandoverRequest(readEnum(in, HandoverRequest.HandoverKind.values()), readBytes(in))),
            new MessageFormat<>(
                    17,
                    Acknowledgement.class,
                    (message, packer) -> packer.packBoolean(message.accepted()),
                    in -> new Acknowledgement(in.unpackBoolean())),
            new MessageFormat<>(
                    18,
                    StatusReport.class,
                    (message, packer) -> {
                        packer.packBoolean(message.ready()).packLong(message.configurationVersion());
                        writePosition(packer, message.serversPosition());
                        packer.packLong(message.serversHash());
                        writePosition(packer, message.membersPosition());
                    },
                    in -> new StatusReport(
                            in.unpackBoolean(), in.unpackLong(), readPosition(in), in.unpackLong(), readPosition(in))),
            new MessageFormat<>(
                    19, StatusDigest.class, MessageFormat::writeStatusDigest, MessageFormat::readStatusDigest),
            new MessageFormat<>(
                    20,
                    QuotaTakeoverRequest.class,
                    (message, packer) -> packer.packString(message.team()).packString(message.newOwnerAddress()),
                    in -> new QuotaTakeoverRequest(in.unpackString(), in.unpackString())),
            new MessageFormat<>(
                    21,
                    QuotaHandoverRequest.class,
                    (message, packer) -> packer.packString(message.team()),
                    in -> new QuotaHandoverRequest(in.unpackString())));

    private static final Map<Class<?>, MessageFormat<? extends Message>> BY_TYPE = indexByType();
    private static final Map<Integer, MessageFormat<? extends Message>> BY_KIND = indexByKind();

    /** Writes a message's fields. */
    interface Writer<T> {
        void write(T message, MessagePacker packer) throws IOException;
    }

    /** Reads a message's fields. */
    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    static MessageFormat<? extends Message> forMessage(Message message) {
        MessageFormat<? extends Message> format = BY_TYPE.get(message.getClass());
        if (format == null) {
            throw new IllegalStateException("message: expected a class with a format, got " + message.getClass());
        }
        return format;
    }

    static MessageFormat<? extends Message> forKind(int kind) {
        MessageFormat<? extends Message> format = BY_KIND.get(kind);
        if (format == null) {
            throw new IllegalArgumentException("message kind: expected 1 to " + FORMATS.size() + ", got " + kind);
        }
        return format;
    }

    void write(Message message, MessagePacker packer) throws IOException {
        writer.write(type.cast(message), packer);
    }

    T read(MessageUnpacker unpacker) throws IOException {
        return reader.read(unpacker);
    }

    private static void writePullRequest(PullRequest message, MessagePacker packer) throws IOException {
        packer.packLong(message.rosterVersion()).packLong(message.configurationVersion());
    }

    private static PullRequest readPullRequest(MessageUnpacker in) throws IOException {
        return new PullRequest(in.unpackLong(), in.unpackLong());
    }

    private static void writePullAnswer(PullAnswer message, MessagePacker packer) throws IOException {
        packer.packLong(message.rosterVersion()).packLong(message.configurationVersion());
        packer.packInt(message.storeAge());
        writeBytes(packer, message.memberAges());
        writeFlags(packer, message.acknowledgedRosters());
        writeFlags(packer, message.acknowledgedConfigurations());
    }

    private static PullAnswer readPullAnswer(MessageUnpacker in) throws IOException {
        return new PullAnswer(
                in.unpackLong(), in.unpackLong(), in.unpackInt(), readBytes(in), readFlags(in), readFlags(in));
    }

    private static void writeSlotRequest(SlotRequest message, MessagePacker packer) throws IOException {
        packer.packString(message.service()).packString(message.route()).packString(message.team());
        packer.packInt(message.trafficClass().ordinal());
        packer.packLong(message.deadlineMillis()).packLong(message.fingerprint());
        writeStrings(packer, message.excludedServers());
        SchedulingParameters scheduling = message.scheduling();
        packer.packInt(scheduling.priority()).packLong(scheduling.targetLatencyMillis());
        packer.packInt(scheduling.attempt()).packString(scheduling.dataCentre());
        writeStrings(packer, scheduling.connectedServers());
        writeStrings(packer, scheduling.allowedServers());
        packer.packArrayHeader(scheduling.serverLimits().size());
        for (ReportedLimit limit : scheduling.serverLimits()) {
            packer.packString(limit.server()).packLong(limit.serverStartedMillis());
            packer.packDouble(limit.requestsPerSecond()).packLong(limit.ageMillis());
        }
    }

    private static SlotRequest readSlotRequest(MessageUnpacker in) throws IOException {
        return new SlotRequest(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                readEnum(in, TrafficClass.values()),
                in.unpackLong(),
                in.unpackLong(),
                readStrings(in),
                new SchedulingParameters(
                        in.unpackInt(),
                        in.unpackLong(),
                        in.unpackInt(),
                        in.unpackString(),
                        readStrings(in),
                        readStrings(in),
                        readReportedLimits(in)));
    }

    private static List<ReportedLimit> readReportedLimits(MessageUnpacker in) throws IOException {
        int length = readListLength(in);
        List<ReportedLimit> limits = new ArrayList<>();
        for (int index = 0; index < length; index++) {
            limits.add(new ReportedLimit(in.unpackString(), in.unpackLong(), in.unpackDouble(), in.unpackLong()));
        }
        return limits;
    }

    private static void writeSlotRelease(SlotRelease message, MessagePacker packer) throws IOException {
        packer.packString(message.service()).packLong(message.grantId());
        packer.packInt(message.outcome().ordinal()).packLong(message.latencyMicros());
        ServerNotice notice = message.notice();
        packer.packBoolean(notice.leaving()).packLong(notice.pauseMillis());
        // Almost all releases say nothing about a limit, and a number takes nine bytes.
        packer.packInt(notice.limit().kind().ordinal());
        if (notice.limit().isLimited()) {
            packer.packDouble(notice.limit().requestsPerSecond());
        }
    }

    private static SlotRelease readSlotRelease(MessageUnpacker in) throws IOException {
        return new SlotRelease(
                in.unpackString(),
                in.unpackLong(),
                readEnum(in, AttemptOutcome.values()),
                in.unpackLong(),
                new ServerNotice(in.unpackBoolean(), in.unpackLong(), readStatedLimit(in)));
    }

    private static StatedLimit readStatedLimit(MessageUnpacker in) throws IOException {
        StatedLimit.Kind kind = readEnum(in, StatedLimit.Kind.values());
        return new StatedLimit(kind, kind == StatedLimit.Kind.LIMITED ? in.unpackDouble() : 0);
    }

    private static void writePosition(MessagePacker packer, StorePosition position) throws IOException {
        packer.packLong(position.era()).packLong(position.revision());
    }

    private static StorePosition readPosition(MessageUnpacker in) throws IOException {
        return new StorePosition(in.unpackLong(), in.unpackLong());
    }

    private static void writeStatusDigest(StatusDigest message, MessagePacker packer) throws IOException {
        packer.packLong(message.storeAgeMillis()).packLong(message.configurationVersion());
        writeBytes(packer, message.configuration());
        writePosition(packer, message.serversPosition());
        writeBytes(packer, message.servers());
        writePosition(packer, message.membersPosition());
        writeBytes(packer, message.members());
        packer.packLong(message.memberNamesHash());
        writeBytes(packer, message.contactAges());
    }

    private static StatusDigest readStatusDigest(MessageUnpacker in) throws IOException {
        return new StatusDigest(
                in.unpackLong(),
                in.unpackLong(),
                readBytes(in),
                readPosition(in),
                readBytes(in),
                readPosition(in),
                readBytes(in),
                in.unpackLong(),
                readBytes(in));
    }

    private static Map<Class<?>, MessageFormat<? extends Message>> indexByType() {
        Map<Class<?>, MessageFormat<? extends Message>> index = new HashMap<>();
        FORMATS.forEach(format -> index.put(format.type(), format));
        return Map.copyOf(index);
    }

    private static Map<Integer, MessageFormat<? extends Message>> indexByKind() {
        Map<Integer, MessageFormat<? extends Message>> index = new HashMap<>();
        FORMATS.forEach(format -> index.put(format.kind(), format));
        return Map.copyOf(index);
    }
}
