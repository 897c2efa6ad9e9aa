package org.auburnhoist.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.auburnhoist.emulator.HostListEmulator;
import org.auburnhoist.store.HostList.HostListResult;
import org.auburnhoist.store.HostList.HostState;
import org.auburnhoist.store.HostList.ListedHost;
import org.junit.jupiter.api.Test;

/** Guards against treating a host list that is invalid or cannot be read as an empty list. */
class HttpHostListTest {
    @Test
    void listIsReadWithItsDelayAndAFailureIsNotAnEmptyList() throws Exception {
        AtomicLong clock = new AtomicLong();
        try (HostListEmulator emulator = HostListEmulator.start(clock::get);
                HttpHostList list = new HttpHostList(emulator.address(), Duration.ofSeconds(30))) {
            List<ListedHost> hosts = List.of(
                    new ListedHost("entry-1", "cairo-a", HostState.LIVE),
                    new ListedHost("entry-2", "cairo-b", HostState.LEAVING));
            emulator.setLag(Duration.ofSeconds(3));
            emulator.publish(hosts);
            assertEquals(new HostListResult.Listed(List.of()), list.read().join());
            clock.addAndGet(Duration.ofSeconds(3).toNanos());
            assertEquals(new HostListResult.Listed(hosts), list.read().join());
            emulator.setFailing(true);
            assertInstanceOf(HostListResult.Unavailable.class, list.read().join());
            emulator.refuseConnections();
            assertInstanceOf(HostListResult.Unavailable.class, list.read().join());
        }
    }

    @Test
    void unknownStateOrInvalidStructureMakesTheListUnavailable() {
        for (String body : List.of("{}", "[]", "x", "{\"hosts\":[{\"name\":\"a\",\"state\":\"gone\"}]}")) {
            assertInstanceOf(
                    HostListResult.Unavailable.class,
                    HttpHostList.parse(200, body.getBytes(StandardCharsets.UTF_8)),
                    body);
        }
    }
}
