package org.auburnhoist.core.operation;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.RecordedResponse;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes operation records as MessagePack for a planned handover. */
final class HandoverCodec {
    /** A part takes no more records from this size on; with its last record it stays below the 2 MB of a frame. */
    private static final int PART_TARGET_BYTES = 1024 * 1024;

    private static final int FORMAT_VERSION = 1;

    private HandoverCodec() {}

    /**
     * The clock of an issuer at the time of the export.
     *
     * @param issuer the host that issued the ids
     * @param elapsedNanos time since the issuer's start
     * @param minIssuedSeconds earliest time of issue that is still usable, in seconds since the issuer's start
     */
    record IssuerClock(HostId issuer, long elapsedNanos, long minIssuedSeconds) {}

    /**
     * One part of a handover.
     *
     * @param exporter the host that hands its records over
     * @param successor the only host that may use the records
     * @param index index of the part, from 0
     * @param partCount number of parts in the handover
     * @param issuers clocks of all issuers whose records are handed over, the same in each part
     * @param records the operation records in this part
     */
    record Part(
            HostId exporter,
            HostId successor,
            int index,
            int partCount,
            List<IssuerClock> issuers,
            List<OperationRecord> records) {}

    static List<byte[]> encode(
            HostId exporter, HostId successor, Map<HostId, IssuerRecords> recordsByIssuer, long nowNanos) {
        try {
            List<byte[]> groups = encodeRecords(recordsByIssuer);
            List<byte[]> parts = new ArrayList<>();
            for (int index = 0; index < groups.size(); index++) {
                MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
                packer.packInt(FORMAT_VERSION);
                packHost(packer, exporter);
                packHost(packer, successor);
                packer.packInt(index).packInt(groups.size());
                packIssuers(packer, recordsByIssuer, nowNanos);
                packer.packBinaryHeader(groups.get(index).length).writePayload(groups.get(index));
                parts.add(packer.toByteArray());
            }
            return parts;
        } catch (IOException exception) {
            throw new UncheckedIOException("encoding a handover into memory failed", exception);
        }
    }

    private static List<byte[]> encodeRecords(Map<HostId, IssuerRecords> recordsByIssuer) throws IOException {
        List<byte[]> groups = new ArrayList<>();
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        for (IssuerRecords records : recordsByIssuer.values()) {
            for (OperationRecord record : records.all()) {
                packRecord(packer, record);
                if (packer.getTotalWrittenBytes() >= PART_TARGET_BYTES) {
                    groups.add(packer.toByteArray());
                    packer = MessagePack.newDefaultBufferPacker();
                }
            }
        }
        groups.add(packer.toByteArray());
        return groups;
    }

    private static void packIssuers(MessagePacker packer, Map<HostId, IssuerRecords> recordsByIssuer, long nowNanos)
            throws IOException {
        packer.packArrayHeader(recordsByIssuer.size());
        for (Map.Entry<HostId, IssuerRecords> entry : recordsByIssuer.entrySet()) {
            packHost(packer, entry.getKey());
            packer.packLong(entry.getValue().elapsedNanos(nowNanos));
            packer.packLong(entry.getValue().minIssuedSeconds());
        }
    }

    private static void packHost(MessagePacker packer, HostId host) throws IOException {
        packer.packString(host.name()).packLong(host.incarnation());
    }

    private static void packRecord(MessagePacker packer, OperationRecord record) throws IOException {
        packer.packString(record.id.encode()).packString(record.team).packLong(record.fingerprint);
        packer.packString(record.state.name());
        packHost(packer, record.holder);
        packer.packLong(record.attempt);
        RecordedResponse answer = record.answer;
        packer.packInt(answer == null ? 0 : answer.status());
        if (answer != null) {
            packer.packArrayHeader(answer.headers().size());
            for (Map.Entry<String, String> header : answer.headers()) {
                packer.packString(header.getKey()).packString(header.getValue());
            }
            packer.packBinaryHeader(answer.body().length).writePayload(answer.body());
            packer.packBoolean(answer.bodyKept());
        }
    }

    /** Decodes a part; returns null if the bytes are not a valid part. */
    static @Nullable Part decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT_VERSION) {
                return null;
            }
            HostId exporter = unpackHost(unpacker);
            HostId successor = unpackHost(unpacker);
            int index = unpacker.unpackInt();
            int partCount = unpacker.unpackInt();
            List<IssuerClock> issuers = new ArrayList<>();
            for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
                issuers.add(new IssuerClock(unpackHost(unpacker), unpacker.unpackLong(), unpacker.unpackLong()));
            }
            byte[] group = unpacker.readPayload(unpacker.unpackBinaryHeader());
            boolean valid = index >= 0 && index < partCount;
            return valid ? new Part(exporter, successor, index, partCount, issuers, decodeRecords(group)) : null;
        } catch (IOException | MessagePackException | IllegalArgumentException exception) {
            return null;
        }
    }

    private static List<OperationRecord> decodeRecords(byte[] group) throws IOException {
        List<OperationRecord> records = new ArrayList<>();
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(group)) {
            while (unpacker.hasNext()) {
                records.add(unpackRecord(unpacker));
            }
        }
        return records;
    }

    private static HostId unpackHost(MessageUnpacker unpacker) throws IOException {
        return new HostId(unpacker.unpackString(), unpacker.unpackLong());
    }

    private static OperationRecord unpackRecord(MessageUnpacker unpacker) throws IOException {
        String text = unpacker.unpackString();
        OperationId id = OperationId.parse(text)
                .getOrElseThrow(problem -> new IllegalArgumentException("operation id: '" + text + "' is " + problem));
        OperationRecord record = new OperationRecord(
                id,
                unpacker.unpackString(),
                unpacker.unpackLong(),
                OperationRecord.State.valueOf(unpacker.unpackString()),
                unpackHost(unpacker),
                unpacker.unpackLong());
        int status = unpacker.unpackInt();
        if (status != 0) {
            record.answer = unpackAnswer(unpacker, status);
        }
        return record;
    }

    private static RecordedResponse unpackAnswer(MessageUnpacker unpacker, int status) throws IOException {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            headers.add(Map.entry(unpacker.unpackString(), unpacker.unpackString()));
        }
        byte[] body = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return new RecordedResponse(status, headers, body, unpacker.unpackBoolean());
    }
}
