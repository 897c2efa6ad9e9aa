package org.auburnhoist.peer;

import org.auburnhoist.core.message.Message;

/**
 * Encodes and decodes frames in the wire format of a link, so that their size and the processor time for them can be
 * measured without a network.
 *
 * <pre>{@code
 * FrameCodec codec = new FrameCodec();
 * int bytes = codec.frameSize(new TokenRequest("county-office", 0, 1));
 * }</pre>
 */
public final class FrameCodec {
    private static final int LENGTH_BYTES = 4;
    private static final int KEY_BYTES = 32;

    /** Takes five bytes on the wire, like the correlation ids of a link that has been in use for some time. */
    private static final long CORRELATION_ID = 100_000;

    private final byte[] sessionKey = new byte[KEY_BYTES];

    /** Returns the size of a message's frame in bytes, including the length prefix and the authentication code. */
    public int frameSize(Message message) {
        return LENGTH_BYTES + encode(message, 0).length;
    }

    /** Encodes one message and appends its authentication code; the result has no length prefix. */
    public byte[] encode(Message message, long sequence) {
        byte[] content = MessageCodec.encode(CORRELATION_ID, message);
        return Handshake.appendMac(sessionKey, Handshake.Role.CONNECTING, sequence, content);
    }

    /**
     * Verifies and decodes one message.
     *
     * @throws IllegalArgumentException if the frame was not encoded by {@link #encode} with the same sequence number
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
