package org.auburnhoist.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.RecordedResponse;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages as MessagePack: protocol version, kind, correlation id, then the fields in order. */
final class MessageCodec {
    static final int PROTOCOL_VERSION = 1;

    private static final int MAX_LIST_LENGTH = 100_000;

    private MessageCodec() {}

    /** A message with the id that correlates an answer with its request. */
    record Envelope(long correlationId, Message message) {}

    static byte[] encode(long correlationId, Message message) {
        MessageFormat<? extends Message> format = MessageFormat.forMessage(message);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(PROTOCOL_VERSION);
            packer.packInt(format.kind());
            packer.packLong(correlationId);
            format.write(message, packer);
            return packer.toByteArray();
        } catch (IOException cause) {
            throw new IllegalStateException("encoding to memory failed", cause);
        }
    }

    /**
     * Decodes one message.
     *
     * @throws MalformedMessageException if the bytes are not exactly one message of this protocol version
     */
    static Envelope decode(byte[] content) throws MalformedMessageException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
            int version = unpacker.unpackInt();
            if (version != PROTOCOL_VERSION) {
                throw new MalformedMessageException(
                        "protocol version: expected " + PROTOCOL_VERSION + ", got " + version);
            }
            MessageFormat<? extends Message> format = MessageFormat.forKind(unpacker.unpackInt());
            long correlationId = unpacker.unpackLong();
            Message message = format.read(unpacker);
            if (unpacker.hasNext()) {
                throw new MalformedMessageException("message: expected its end, got trailing bytes");
            }
            return new Envelope(correlationId, message);
        } catch (IOException | MessagePackException | IllegalArgumentException cause) {
            throw new MalformedMessageException("message: " + cause.getMessage(), cause);
        }
    }

    static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        checkLength(length, FrameChannel.MAX_FRAME_BYTES);
        return unpacker.readPayload(length);
    }

    /** Packs each flag into one bit, because a pull answer has two flags for each member of the fleet. */
    static void writeFlags(MessagePacker packer, byte[] flags) throws IOException {
        byte[] bits = new byte[(flags.length + Byte.SIZE - 1) / Byte.SIZE];
        for (int index = 0; index < flags.length; index++) {
            if (flags[index] != 0) {
                bits[index / Byte.SIZE] |= (byte) (1 << (index % Byte.SIZE));
            }
        }
        packer.packInt(flags.length);
        writeBytes(packer, bits);
    }

    static byte[] readFlags(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackInt();
        byte[] bits = readBytes(unpacker);
        if (length < 0 || bits.length != (length + Byte.SIZE - 1) / Byte.SIZE) {
            throw new IllegalArgumentException(
                    "flags: expected the bits of " + length + " flags, got " + bits.length + " bytes");
        }
        byte[] flags = new byte[length];
        for (int index = 0; index < length; index++) {
            flags[index] = (byte) ((bits[index / Byte.SIZE] >> (index % Byte.SIZE)) & 1);
        }
        return flags;
    }

    static void writeStrings(MessagePacker packer, List<String> strings) throws IOException {
        packer.packArrayHeader(strings.size());
        for (String string : strings) {
            packer.packString(string);
        }
    }

    static List<String> readStrings(MessageUnpacker unpacker) throws IOException {
        int length = readListLength(unpacker);
        List<String> strings = new ArrayList<>();
        for (int index = 0; index < length; index++) {
            strings.add(unpacker.unpackString());
        }
        return strings;
    }

    static int readListLength(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackArrayHeader();
        checkLength(length, MAX_LIST_LENGTH);
        return length;
    }

    static <E extends Enum<E>> E readEnum(MessageUnpacker unpacker, E[] values) throws IOException {
        int ordinal = unpacker.unpackInt();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new IllegalArgumentException(
                    "enum ordinal: expected 0 to " + (values.length - 1) + ", got " + ordinal);
        }
        return values[ordinal];
    }

    static void writeRecordedResponse(MessagePacker packer, @Nullable RecordedResponse response) throws IOException {
        if (response == null) {
            packer.packNil();
            return;
        }
        packer.packInt(response.status());
        packer.packArrayHeader(response.headers().size());
        for (Map.Entry<String, String> header : response.headers()) {
            packer.packString(header.getKey());
            packer.packString(header.getValue());
        }
        writeBytes(packer, response.body());
        packer.packBoolean(response.bodyKept());
    }

    static @Nullable RecordedResponse readRecordedResponse(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return null;
        }
        int status = unpacker.unpackInt();
        int count = unpacker.unpackArrayHeader();
        checkLength(count, MAX_LIST_LENGTH);
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            headers.add(Map.entry(unpacker.unpackString(), unpacker.unpackString()));
        }
        return new RecordedResponse(status, headers, readBytes(unpacker), unpacker.unpackBoolean());
    }

    private static void checkLength(int length, int maximum) {
        if (length > maximum) {
            throw new IllegalArgumentException("length: expected at most " + maximum + ", got " + length);
        }
    }
}
