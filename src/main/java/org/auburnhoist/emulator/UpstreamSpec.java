package org.auburnhoist.emulator;

import java.time.Duration;

/**
 * Describes one emulated upstream server.
 *
 * @param service the service that it belongs to
 * @param name the server's name, unique in the emulator
 * @param slots requests that run at a time
 * @param queueLimit requests that wait for a slot; further ones are shed
 * @param connectionLimit connections that are kept open; further ones are reset
 * @param serviceTime time in the slot
 * @param coldStart time after a start during which work takes {@code coldFactor} times as long
 * @param coldStartFactor factor of the cold start
 * @param crashDowntime time during which connections are refused after a crash
 * @param port loopback port to listen on, 0 for a free one
 */
public record UpstreamSpec(
        String service,
        String name,
        int slots,
        int queueLimit,
        int connectionLimit,
        ServiceTime serviceTime,
        Duration coldStart,
        double coldStartFactor,
        Duration crashDowntime,
        int port) {
    /**
     * A server on a free port, without a cold start, with a queue of twice its slots, down for 5 s
     * after a crash.
     */
    public static UpstreamSpec of(
            String service, String name, int slots, int connectionLimit, ServiceTime serviceTime) {
        return new UpstreamSpec(
                service,
                name,
                slots,
                2 * slots,
                connectionLimit,
                serviceTime,
                Duration.ZERO,
                1,
                Duration.ofSeconds(5),
                0);
    }

    /** The same server with a cold start. */
    public UpstreamSpec withColdStart(Duration duration, double factor) {
        return new UpstreamSpec(
                service, name, slots, queueLimit, connectionLimit, serviceTime, duration, factor, crashDowntime, port);
    }

    /** The same server with another time down after a crash. */
    public UpstreamSpec withCrashDowntime(Duration downtime) {
        return new UpstreamSpec(
                service,
                name,
                slots,
                queueLimit,
                connectionLimit,
                serviceTime,
                coldStart,
                coldStartFactor,
                downtime,
                port);
    }

    /** The same server with another queue. */
    public UpstreamSpec withQueueLimit(int limit) {
        return new UpstreamSpec(
                service,
                name,
                slots,
                limit,
                connectionLimit,
                serviceTime,
                coldStart,
                coldStartFactor,
                crashDowntime,
                port);
    }

    /** The same server on another loopback port. */
    public UpstreamSpec withPort(int number) {
        return new UpstreamSpec(
                service,
                name,
                slots,
                queueLimit,
                connectionLimit,
                serviceTime,
                coldStart,
                coldStartFactor,
                crashDowntime,
                number);
    }
}
