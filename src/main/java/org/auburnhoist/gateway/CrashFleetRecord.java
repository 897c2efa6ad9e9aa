package org.auburnhoist.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.dispatch.CrashRecord;
import org.auburnhoist.core.dispatch.Quarantine;
import org.auburnhoist.support.Event;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** The record of the requests that crash servers. */
final class CrashFleetRecord implements FleetRecord {
    private final Quarantine quarantine;

    CrashFleetRecord(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    @Override
    public String name() {
        return "crashes";
    }

    @Override
    public long hash(long nowNanos) {
        return quarantine.recordHash(nowNanos);
    }

    @Override
    public byte[] encode(long nowNanos) {
        CrashRecord record = quarantine.record(nowNanos);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(record.crashes().size());
            for (CrashRecord.Crash crash : record.crashes()) {
                packer.packLong(crash.id())
                        .packString(crash.server())
                        .packLong(crash.ageMillis())
                        .packBoolean(crash.silent());
                packer.packArrayHeader(crash.suspects().size());
                for (long suspect : crash.suspects()) {
                    packer.packLong(suspect);
                }
            }
            packer.packArrayHeader(record.held().size());
            for (CrashRecord.HeldRequest held : record.held()) {
                packer.packLong(held.fingerprint()).packLong(held.remainingMillis());
            }
            return packer.toByteArray();
        } catch (IOException cause) {
            throw new IllegalStateException("encoding to memory failed", cause);
        }
    }

    @Override
    public void merge(byte[] content, long nowNanos) throws IOException {
        int heldBefore = quarantine.size();
        quarantine.merge(decode(content), nowNanos);
        if (quarantine.size() > heldBefore) {
            Event.named("request-held-back")
                    .with("reason", "crashes that other hosts have counted")
                    .with("held_requests", quarantine.size())
                    .log();
        }
    }

    private static CrashRecord decode(byte[] content) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(content)) {
            List<CrashRecord.Crash> crashes = new ArrayList<>();
            int crashCount = readLength(in, "crashes", Quarantine.MAX_CRASHES_KEPT);
            for (int index = 0; index < crashCount; index++) {
                crashes.add(new CrashRecord.Crash(
                        in.unpackLong(), in.unpackString(), in.unpackLong(), in.unpackBoolean(), readSuspects(in)));
            }
            List<CrashRecord.HeldRequest> held = new ArrayList<>();
            int heldCount = readLength(in, "held", Quarantine.MAX_HELD);
            for (int index = 0; index < heldCount; index++) {
                held.add(new CrashRecord.HeldRequest(in.unpackLong(), in.unpackLong()));
            }
            // A later release may add parts after these.
            return new CrashRecord(crashes, held);
        } catch (MessagePackException cause) {
            throw new IOException("record of crashes: " + cause.getMessage(), cause);
        }
    }

    private static List<Long> readSuspects(MessageUnpacker in) throws IOException {
        int count = readLength(in, "suspects", Quarantine.MAX_SUSPECTS_TOLD);
        List<Long> suspects = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            suspects.add(in.unpackLong());
        }
        return suspects;
    }

    private static int readLength(MessageUnpacker in, String part, int maximum) throws IOException {
        int length = in.unpackArrayHeader();
        if (length > maximum) {
            throw new IOException("record of crashes: expected at most " + maximum + " " + part + ", got " + length);
        }
        return length;
    }
}
