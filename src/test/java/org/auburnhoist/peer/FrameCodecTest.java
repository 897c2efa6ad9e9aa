package org.auburnhoist.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.TokenRequest;
import org.junit.jupiter.api.Test;

/** Guards measured frame sizes against leaving out the length or the authentication code. */
class FrameCodecTest {
    private final FrameCodec wire = new FrameCodec();
    private final Message message = new TokenRequest("county-office", 1, 3);

    @Test
    void countsTheLengthAndTheCode() {
        int content = MessageCodec.encode(100_000, message).length;
        assertEquals(4 + content + 16, wire.frameSize(message));
    }

    @Test
    void opensOnlyTheFrameOfTheSameNumber() {
        byte[] frame = wire.encode(message, 7);
        assertEquals(message, wire.decode(frame, 7));
        assertThrows(IllegalArgumentException.class, () -> wire.decode(frame, 8));
    }
}
