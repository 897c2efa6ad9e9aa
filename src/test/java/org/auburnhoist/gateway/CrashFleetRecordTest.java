package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.auburnhoist.core.dispatch.CrashRecord;
import org.auburnhoist.core.dispatch.Quarantine;
import org.junit.jupiter.api.Test;

/** Guards against copies of the record of crashes that differ for good, and against a copy that cannot be read. */
class CrashFleetRecordTest {
    private static final long NOW_NANOS = 50_000_000_000L;
    private static final long CRASHING = 7;

    private static byte[] copyOf(long crash, String server, Long... suspects) {
        Quarantine quarantine = new Quarantine();
        quarantine.merge(
                new CrashRecord(
                        List.of(new CrashRecord.Crash(crash, server, 10_000 - crash, false, List.of(suspects))),
                        List.of()),
                NOW_NANOS);
        return new CrashFleetRecord(quarantine).encode(NOW_NANOS);
    }

    @Test
    void copiesMergeToTheSameRecordInAnyOrder() throws IOException {
        List<byte[]> copies = new ArrayList<>(List.of(
                copyOf(1, "s1", CRASHING, 8L),
                copyOf(1, "s1", CRASHING),
                copyOf(2, "s2", CRASHING, 8L, 9L),
                copyOf(3, "s3", CRASHING, 8L)));
        Random random = new Random(4);
        List<Long> hashes = new ArrayList<>();
        for (int round = 0; round < 20; round++) {
            Collections.shuffle(copies, random);
            Quarantine quarantine = new Quarantine();
            CrashFleetRecord record = new CrashFleetRecord(quarantine);
            for (byte[] copy : copies) {
                record.merge(copy, NOW_NANOS);
            }
            assertTrue(quarantine.remainingNanos(CRASHING, NOW_NANOS) > 0);
            assertEquals(0, quarantine.remainingNanos(8, NOW_NANOS));
            hashes.add(record.hash(NOW_NANOS));
        }
        assertEquals(1, hashes.stream().distinct().count());
    }

    @Test
    void nothingOfAnUnreadableCopyIsAdded() {
        byte[] copy = copyOf(1, "s1", CRASHING);
        Quarantine quarantine = new Quarantine();
        CrashFleetRecord record = new CrashFleetRecord(quarantine);
        byte[] cut = Arrays.copyOf(copy, copy.length - 2);
        assertThrows(IOException.class, () -> record.merge(cut, NOW_NANOS));
        assertThrows(IOException.class, () -> record.merge(new byte[] {5, 6}, NOW_NANOS));
        assertEquals(0, record.hash(NOW_NANOS));
    }
}
