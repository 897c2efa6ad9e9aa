package org.auburnhoist.core.membership;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes the lists of members and servers that hosts send each other and keep in the store. */
public final class FleetCodec {
    /** Maximum size of a document after decompression, in bytes; 13,000 servers take about 2 MB. */
    private static final int MAX_BYTES = 8 << 20;

    private FleetCodec() {}

    /** Encodes one member. */
    public static byte[] member(FleetMember member) {
        return write(packer -> writeMember(packer, member));
    }

    /**
     * Decodes one member.
     *
     * @throws IOException if the bytes are not a member
     */
    public static FleetMember member(byte[] bytes) throws IOException {
        return read(bytes, FleetCodec::readMember);
    }

    /** Encodes and compresses members. */
    public static byte[] members(List<FleetMember> members) {
        return deflate(write(packer -> {
            packer.packArrayHeader(members.size());
            for (FleetMember member : members) {
                writeMember(packer, member);
            }
        }));
    }

    /**
     * Decodes compressed members.
     *
     * @throws IOException if the bytes are not a list of members
     */
    public static List<FleetMember> members(byte[] bytes) throws IOException {
        return read(inflate(bytes), in -> {
            int count = in.unpackArrayHeader();
            List<FleetMember> members = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                members.add(readMember(in));
            }
            return members;
        });
    }

    /** Encodes and compresses servers' registrations. */
    public static byte[] registrations(ServerRegistrations registrations) {
        return deflate(write(packer -> {
            packer.packArrayHeader(registrations.servers().size());
            for (UpstreamServer server : registrations.servers()) {
                packer.packString(server.id())
                        .packLong(server.startedMillis())
                        .packString(server.service())
                        .packString(server.address())
                        .packString(server.dataCentre())
                        .packInt(server.slots())
                        .packBoolean(server.leaving())
                        .packLong(server.warmUpMillis());
            }
            // Last, since hosts of earlier versions read only the servers.
            packer.packArrayHeader(registrations.unusableIds().size());
            for (String id : registrations.unusableIds()) {
                packer.packString(id);
            }
        }));
    }

    /**
     * Decodes compressed registrations; those of a host of an earlier version name no unusable IDs.
     *
     * @throws IOException if the bytes are not a list of servers
     */
    public static ServerRegistrations registrations(byte[] bytes) throws IOException {
        return read(inflate(bytes), in -> {
            int count = in.unpackArrayHeader();
            List<UpstreamServer> servers = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                servers.add(new UpstreamServer(
                        in.unpackString(),
                        in.unpackLong(),
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackInt(),
                        in.unpackBoolean(),
                        in.unpackLong()));
            }
            List<String> unusableIds = new ArrayList<>();
            int unusable = in.hasNext() ? in.unpackArrayHeader() : 0;
            for (int index = 0; index < unusable; index++) {
                unusableIds.add(in.unpackString());
            }
            return new ServerRegistrations(servers, unusableIds);
        });
    }

    /** Compresses a document. */
    public static byte[] deflate(byte[] content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
            out.write(content);
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
        return bytes.toByteArray();
    }

    /**
     * Decompresses a document.
     *
     * @throws IOException if the bytes are not a compressed document or it is too large
     */
    public static byte[] inflate(byte[] bytes) throws IOException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] content = in.readNBytes(MAX_BYTES + 1);
            if (content.length > MAX_BYTES) {
                throw new IOException("document: expected at most " + MAX_BYTES + " bytes after decompression");
            }
            return content;
        }
    }

    private static void writeMember(MessageBufferPacker packer, FleetMember member) throws IOException {
        packer.packString(member.id().name())
                .packLong(member.id().incarnation())
                .packString(member.peerAddress())
                .packString(member.callerAddress())
                .packString(member.dataCentre())
                .packBoolean(member.leaving())
                .packDouble(member.capacity());
    }

    private static FleetMember readMember(MessageUnpacker in) throws IOException {
        return new FleetMember(
                new HostId(in.unpackString(), in.unpackLong()),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackBoolean(),
                in.unpackDouble());
    }

    private interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    private interface Reader<T> {
        T read(MessageUnpacker in) throws IOException;
    }

    private static byte[] write(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
    }

    private static <T> T read(byte[] bytes, Reader<T> reader) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(in);
        } catch (RuntimeException malformed) {
            throw new IOException("document: expected MessagePack with the fields of a member or server", malformed);
        }
    }
}
