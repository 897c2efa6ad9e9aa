package org.auburnhoist.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.Provider;
import java.security.Security;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.auburnhoist.core.HostId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Mutual authentication of two hosts by the fleet secret, and derivation of the session key.
 *
 * <p>The connecting host sends its id and a nonce; the accepting host answers with its own id, a nonce and a proof; the
 * connecting host answers with its proof. A proof is an HMAC-SHA-256 over the role, both ids and both nonces, so it
 * cannot be reflected or replayed. Each later frame carries a message authentication code over its direction, sequence
 * number and content.
 */
final class Handshake {
    static final int NONCE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    /** Provider of the algorithm in most Java runtimes; a search would load all providers that precede it. */
    private static final String DEFAULT_PROVIDER_NAME = "SunJCE";

    private static final Provider PROVIDER = findProvider();
    private static final int FRAME_MAC_BYTES = 16;
    private static final int MAX_NAME_LENGTH = 255;

    private Handshake() {}

    /** Side of the connection that sends; part of every proof and authentication code. */
    enum Role {
        CONNECTING,
        ACCEPTING
    }

    /** First frame of each side. */
    @SuppressWarnings("ArrayRecordComponent")
    record Hello(int protocolVersion, HostId host, byte[] nonce, byte[] proof) {}

    static byte[] encode(Hello hello) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(hello.protocolVersion());
            packer.packString(hello.host().name());
            packer.packLong(hello.host().incarnation());
            MessageCodec.writeBytes(packer, hello.nonce());
            MessageCodec.writeBytes(packer, hello.proof());
            return packer.toByteArray();
        } catch (IOException cause) {
            throw new IllegalStateException("encoding to memory failed", cause);
        }
    }

    static Hello decode(byte[] content) throws MalformedMessageException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(content)) {
            int version = in.unpackInt();
            if (version != MessageCodec.PROTOCOL_VERSION) {
                throw new MalformedMessageException(
                        "protocol version: expected " + MessageCodec.PROTOCOL_VERSION + ", got " + version);
            }
            String name = in.unpackString();
            if (name.length() > MAX_NAME_LENGTH) {
                throw new MalformedMessageException(
                        "host name: expected at most " + MAX_NAME_LENGTH + " characters, got " + name.length());
            }
            HostId host = new HostId(name, in.unpackLong());
            return new Hello(version, host, MessageCodec.readBytes(in), MessageCodec.readBytes(in));
        } catch (IOException | MessagePackException | IllegalArgumentException cause) {
            throw new MalformedMessageException("hello: " + cause.getMessage(), cause);
        }
    }

    static byte[] proof(byte[] secret, Role role, Hello connecting, Hello accepting) {
        return hmac(secret, transcript(role.name(), connecting, accepting));
    }

    static byte[] sessionKey(byte[] secret, Hello connecting, Hello accepting) {
        return hmac(secret, transcript("SESSION", connecting, accepting));
    }

    static boolean matches(byte[] expected, byte[] actual) {
        return MessageDigest.isEqual(expected, actual);
    }

    /** Appends the authentication code to the content of the sender's frame with number {@code sequence}. */
    static byte[] appendMac(byte[] sessionKey, Role sender, long sequence, byte[] content) {
        byte[] mac = frameMac(sessionKey, sender, sequence, content, content.length);
        byte[] frame = Arrays.copyOf(content, content.length + FRAME_MAC_BYTES);
        System.arraycopy(mac, 0, frame, content.length, FRAME_MAC_BYTES);
        return frame;
    }

    /**
     * Verifies and removes the authentication code of a frame.
     *
     * @throws MalformedMessageException if the authentication code does not match
     */
    static byte[] verifyAndRemoveMac(byte[] sessionKey, Role sender, long sequence, byte[] frame)
            throws MalformedMessageException {
        int length = frame.length - FRAME_MAC_BYTES;
        if (length < 0) {
            throw new MalformedMessageException(
                    "frame: expected at least " + FRAME_MAC_BYTES + " bytes, got " + frame.length);
        }
        byte[] expected = Arrays.copyOf(frameMac(sessionKey, sender, sequence, frame, length), FRAME_MAC_BYTES);
        byte[] actual = Arrays.copyOfRange(frame, length, frame.length);
        if (!matches(expected, actual)) {
            throw new MalformedMessageException("frame: authentication code does not match");
        }
        return Arrays.copyOf(frame, length);
    }

    private static byte[] frameMac(byte[] sessionKey, Role sender, long sequence, byte[] content, int length) {
        Mac mac = createMac(sessionKey);
        mac.update((byte) sender.ordinal());
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).flip());
        mac.update(content, 0, length);
        return mac.doFinal();
    }

    private static byte[] transcript(String label, Hello connecting, Hello accepting) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(label);
            for (Hello hello : new Hello[] {connecting, accepting}) {
                packer.packString(hello.host().name());
                packer.packLong(hello.host().incarnation());
                MessageCodec.writeBytes(packer, hello.nonce());
            }
            return packer.toByteArray();
        } catch (IOException cause) {
            throw new IllegalStateException("encoding to memory failed", cause);
        }
    }

    private static byte[] hmac(byte[] key, byte[] content) {
        return createMac(key).doFinal(content);
    }

    private static Mac createMac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM, PROVIDER);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException cause) {
            throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", cause);
        }
    }

    private static Provider findProvider() {
        Provider defaultProvider = Security.getProvider(DEFAULT_PROVIDER_NAME);
        if (defaultProvider != null && defaultProvider.getService("Mac", ALGORITHM) != null) {
            return defaultProvider;
        }
        try {
            return Mac.getInstance(ALGORITHM).getProvider();
        } catch (GeneralSecurityException cause) {
            throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", cause);
        }
    }

    static byte[] secretBytes(String secret) {
        return secret.getBytes(StandardCharsets.UTF_8);
    }
}
