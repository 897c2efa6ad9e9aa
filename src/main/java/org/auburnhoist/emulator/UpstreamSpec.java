package org.auburnhoist.emulator;

import java.time.Duration;

/**
 * Specification of one emulated upstream server.
 *
 * @param service name of the service that the server belongs to
 * @param name name of the server, unique in the emulator
 * @param slots maximum number of requests that are executed concurrently
 * @param queueLimit maximum number of requests that wait for a slot; further ones are shed
 * @param connectionLimit maximum number of open connections; further ones are reset
 * @param serviceTime distribution of the time that a request occupies its slot
 * @param coldStart time after a start during which the service time is multiplied by {@code coldStartFactor}
 * @param coldStartFactor factor of the service time during the cold start
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
     * A server on a free port, without a cold start, with a queue limit of twice its slots and a downtime of 5 s
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

    /** The same server with another downtime after a crash. */
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

    /** The same server with another queue limit. */
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
