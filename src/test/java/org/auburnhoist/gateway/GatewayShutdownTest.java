package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.dispatch.FloorSettings;
import org.auburnhoist.core.dispatch.RetryBudgetSettings;
import org.auburnhoist.core.limit.FallbackLimiter;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.proxy.ProxySettings;
import org.auburnhoist.support.ManualScheduler;
import org.junit.jupiter.api.Test;

/** Guards against planned stops whose phases begin late on a busy machine. */
class GatewayShutdownTest {
    private static final Duration STOP_LIMIT = Duration.ofSeconds(6);
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** A host whose control thread is late would accept requests that it cannot finish before its process ends. */
    @Test
    void theTimeInWhichRequestsAreAcceptedIsCountedFromTheSignal() throws Exception {
        ManualScheduler control = new ManualScheduler();
        try (ProxyServer proxy = ProxyServer.start(
                ProxySettings.builder().listenAddress(ANY_PORT).build(),
                (head, now) -> CompletableFuture.completedFuture(
                        new Admission.Refused(Refusal.ROUTE_UNKNOWN, "none", -1, List.of())))) {
            GatewayShutdown shutdown = new GatewayShutdown(settings(), control, now -> {}, () -> {}, proxy);
            Duration late = Duration.ofMillis(700);
            shutdown.begin(0);
            control.runNext(late.toNanos());
            assertEquals(
                    List.of(StopTimes.within(STOP_LIMIT).accepting().minus(late)),
                    control.delays(),
                    "time until requests are refused");
        }
    }

    private static GatewaySettings settings() {
        return new GatewaySettings(
                "host-1",
                "a",
                1,
                ANY_PORT,
                null,
                null,
                ANY_PORT,
                Duration.ofSeconds(1),
                STOP_LIMIT,
                new FallbackLimiter.Tolerance(5, 0.1, 20),
                new RetryBudgetSettings(0.2, 60),
                new FloorSettings(0.7, Duration.ofSeconds(6)),
                2_600,
                true);
    }
}
