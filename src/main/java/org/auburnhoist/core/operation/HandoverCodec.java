package org.auburnhoist.core.operation;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.RecordedAnswer;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack form of operation records in a planned handover. */
final class HandoverCodec {
    /** A part is closed once it holds this many bytes; with one more record it stays below the 2 MB of a frame. */
    private static final int PART_BYTES = 1024 * 1024;

    private static final int FORMAT = 1;

    private HandoverCodec() {}

    /**
     * A home's clock at the time of the export.
     *
     * @param home the home
     * @param elapsedNanos time since the home's start
     * @param oldestSeconds earliest usable time of issue
     */
    record HomeClock(HostId home, long elapsedNanos, long oldestSeconds) {}

    /**
     * One part of a handover.
     *
     * @param from the exporting host
     * @param successor the only host that may use the records
     * @param index position of the part, from 0
     * @param partCount number of parts
     * @param homes the homes that are handed over, the same in each part
     * @param records some of the records
     */
    record Part(
            HostId from,
            HostId successor,
            int index,
            int partCount,
            List<HomeClock> homes,
            List<OperationRecord> records) {}

    static List<byte[]> encode(HostId from, HostId successor, Map<HostId, HomeRecords> homes, long nowNanos) {
        try {
            List<byte[]> groups = encodeRecords(homes);
            List<byte[]> parts = new ArrayList<>();
            for (int index = 0; index < groups.size(); index++) {
                MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
                packer.packInt(FORMAT);
                packHost(packer, from);
                packHost(packer, successor);
                packer.packInt(index).packInt(groups.size());
                packHomes(packer, homes, nowNanos);
                packer.packBinaryHeader(groups.get(index).length).writePayload(groups.get(index));
                parts.add(packer.toByteArray());
            }
            return parts;
        } catch (IOException impossible) {
            throw new UncheckedIOException("packing into memory failed", impossible);
        }
    }

    private static List<byte[]> encodeRecords(Map<HostId, HomeRecords> homes) throws IOException {
        List<byte[]> groups = new ArrayList<>();
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        for (HomeRecords records : homes.values()) {
            for (OperationRecord record : records.all()) {
                packRecord(packer, record);
                if (packer.getTotalWrittenBytes() >= PART_BYTES) {
                    groups.add(packer.toByteArray());
                    packer = MessagePack.newDefaultBufferPacker();
                }
            }
        }
        groups.add(packer.toByteArray());
        return groups;
    }

    private static void packHomes(MessagePacker packer, Map<HostId, HomeRecords> homes, long nowNanos)
            throws IOException {
        packer.packArrayHeader(homes.size());
        for (Map.Entry<HostId, HomeRecords> home : homes.entrySet()) {
            packHost(packer, home.getKey());
            packer.packLong(home.getValue().elapsedNanos(nowNanos));
            packer.packLong(home.getValue().oldestSeconds());
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
        RecordedAnswer answer = record.answer;
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

    /** Reads a part, or returns null if it is not one. */
    static @Nullable Part decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT) {
                return null;
            }
            HostId from = unpackHost(unpacker);
            HostId successor = unpackHost(unpacker);
            int index = unpacker.unpackInt();
            int partCount = unpacker.unpackInt();
            List<HomeClock> homes = new ArrayList<>();
            for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
                homes.add(new HomeClock(unpackHost(unpacker), unpacker.unpackLong(), unpacker.unpackLong()));
            }
            byte[] group = unpacker.readPayload(unpacker.unpackBinaryHeader());
            boolean valid = index >= 0 && index < partCount;
            return valid ? new Part(from, successor, index, partCount, homes, decodeRecords(group)) : null;
        } catch (IOException | MessagePackException | IllegalArgumentException unreadable) {
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
                .getOrElseThrow(problem -> new IllegalArgumentException("id: '" + text + "' is " + problem));
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

    private static RecordedAnswer unpackAnswer(MessageUnpacker unpacker, int status) throws IOException {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
            headers.add(Map.entry(unpacker.unpackString(), unpacker.unpackString()));
        }
        byte[] body = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return new RecordedAnswer(status, headers, body, unpacker.unpackBoolean());
    }
}
