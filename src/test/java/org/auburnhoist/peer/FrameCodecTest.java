package org.auburnhoist.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.TokenRequest;
import org.junit.jupiter.api.Test;

/** Guards against measured frame sizes that omit the length prefix or the authentication code. */
class FrameCodecTest {
    private final FrameCodec codec = new FrameCodec();
    private final Message message = new TokenRequest("county-office", 1, 3);

    @Test
    void sizeIncludesTheLengthPrefixAndTheAuthenticationCode() {
        int content = MessageCodec.encode(100_000, message).length;
        assertEquals(4 + content + 16, codec.frameSize(message));
    }

    @Test
    void decodesOnlyAFrameWithTheSameSequenceNumber() {
        byte[] frame = codec.encode(message, 7);
        assertEquals(message, codec.decode(frame, 7));
        assertThrows(IllegalArgumentException.class, () -> codec.decode(frame, 8));
    }
}
