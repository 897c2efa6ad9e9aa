package org.auburnhoist.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of which one thread runs out of memory and drops the error, while the others go on. */
final class HeapFiller {
    private static final int BLOCK_BYTES = 1 << 20;

    private HeapFiller() {}

    public static void main(String[] arguments) throws InterruptedException {
        List<byte[]> blocks = new ArrayList<>();
        try {
            while (true) {
                blocks.add(new byte[BLOCK_BYTES]);
            }
        } catch (OutOfMemoryError full) {
            blocks.clear();
        }
        TimeUnit.MINUTES.sleep(1);
    }
}
