package org.auburnhoist.peer;

import org.auburnhoist.core.message.Message;

/**
 * The frames of one link as they are on the wire, so that their sizes and times can be measured without a network.
 *
 * <pre>{@code
 * WireCost wire = new WireCost();
 * int bytes = wire.frameBytes(new TokenRequest("county-office", 0, 1));
 * }</pre>
 */
public final class FrameCodec {
    private static final int LENGTH_BYTES = 4;
    private static final int KEY_BYTES = 32;

    /** A correlation id of a link that has been in use for some time takes five bytes. */
    private static final long CORRELATION_ID = 100_000;

    private final byte[] sessionKey = new byte[KEY_BYTES];

    /** Returns the bytes of a message's frame with its length and its authentication code. */
    public int frameSize(Message message) {
        return LENGTH_BYTES + encode(message, 0).length;
    }

    /** Encodes and authenticates one message; the result lacks the length. */
    public byte[] encode(Message message, long sequence) {
        byte[] content = MessageCodec.encode(CORRELATION_ID, message);
        return Handshake.appendMac(sessionKey, Handshake.Role.CONNECTING, sequence, content);
    }

    /**
     * Checks and decodes one message.
     *
     * @throws IllegalArgumentException if the frame was not made by {@link #encode} with the same sequence number
     */
    public Message decode(byte[] frame, long sequence) {
        try {
            return MessageCodec.decode(
                            Handshake.verifyAndRemoveMac(sessionKey, Handshake.Role.CONNECTING, sequence, frame))
                    .message();
        } catch (MalformedMessageException cause) {
            throw new IllegalArgumentException("frame: expected an intact frame, got " + cause.getMessage(), cause);
        }
    }
}
