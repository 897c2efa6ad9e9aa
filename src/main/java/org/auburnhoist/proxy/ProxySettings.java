package org.auburnhoist.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.support.Supervisor;

/**
 * Immutable settings of a {@link ProxyServer}.
 *
 * <pre>{@code
 * ProxySettings settings = ProxySettings.builder()
 *         .listenAddress(new InetSocketAddress("10.0.0.5", 8080))
 *         .hostName("entry-1")
 *         .requestIdPrefix("entry-1-7f3a")
 *         .build();
 * }</pre>
 */
public final class ProxySettings {
    final InetSocketAddress listenAddress;
    final String hostName;
    final String requestIdPrefix;
    final int callerThreads;
    final int upstreamThreads;
    final int maxHeadBytes;
    final int maxHeaderCount;
    final int maxInterimResponses;
    final long maxBodyBytes;
    final Duration headTimeout;
    final Duration bodyTimeout;
    final Duration callerIdleTimeout;
    final int maxCallerConnections;
    final int pipelinedRequests;
    final Duration connectTimeout;
    final Duration upstreamIdleExpiry;
    final Duration answerIdleTimeout;
    final WireRules wireRules;
    final Map<InetSocketAddress, RequestPolicy> additionalListeners;
    final Set<Integer> reservedPorts;
    final Supervisor supervisor;

    private ProxySettings(Builder builder) {
        listenAddress = builder.listenAddress;
        hostName = builder.hostName;
        requestIdPrefix = builder.requestIdPrefix;
        callerThreads = builder.callerThreads;
        upstreamThreads = builder.upstreamThreads;
        maxHeadBytes = builder.maxHeadBytes;
        maxHeaderCount = builder.maxHeaderCount;
        maxInterimResponses = builder.maxInterimResponses;
        maxBodyBytes = builder.maxBodyBytes;
        headTimeout = builder.headTimeout;
        bodyTimeout = builder.bodyTimeout;
        callerIdleTimeout = builder.callerIdleTimeout;
        maxCallerConnections = builder.maxCallerConnections;
        pipelinedRequests = builder.pipelinedRequests;
        connectTimeout = builder.connectTimeout;
        upstreamIdleExpiry = builder.upstreamIdleExpiry;
        answerIdleTimeout = builder.answerIdleTimeout;
        wireRules = builder.wireRules;
        additionalListeners = Map.copyOf(builder.additionalListeners);
        reservedPorts = Set.copyOf(builder.reservedPorts);
        supervisor = builder.supervisor;
    }

    /** Creates a builder with the defaults, which listen on a free port of the loopback interface. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builder of the settings. */
    public static final class Builder {
        private InetSocketAddress listenAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        private String hostName = "auburnhoist";
        private String requestIdPrefix = "request";
        private int callerThreads = 2;
        private int upstreamThreads = 2;
        private int maxHeadBytes = 32 * 1024;
        private int maxHeaderCount = 100;
        private int maxInterimResponses = 16;
        private long maxBodyBytes = 1L << 30;
        private Duration headTimeout = Duration.ofSeconds(10);
        private Duration bodyTimeout = Duration.ofSeconds(30);
        private Duration callerIdleTimeout = Duration.ofSeconds(60);
        private int maxCallerConnections = 4096;
        private int pipelinedRequests = 8;
        private Duration connectTimeout = Duration.ofSeconds(1);
        private Duration upstreamIdleExpiry = Duration.ofSeconds(30);
        private Duration answerIdleTimeout = Duration.ofSeconds(30);
        private WireRules wireRules = new StandardWireRules();
        private final Map<InetSocketAddress, RequestPolicy> additionalListeners = new LinkedHashMap<>();
        private final Set<Integer> reservedPorts = new HashSet<>();
        private Supervisor supervisor = Supervisor.withoutChecks();

        private Builder() {}

        /** Address to listen on for callers; port 0 selects a free port. */
        public Builder listenAddress(InetSocketAddress value) {
            listenAddress = value;
            return this;
        }

        /** Name in the {@code Via} header; a token without spaces. */
        public Builder hostName(String value) {
            hostName = value;
            return this;
        }

        /** Prefix of every request id; must differ between host incarnations. */
        public Builder requestIdPrefix(String value) {
            requestIdPrefix = value;
            return this;
        }

        /**
         * Maximum number of concurrent requests of one connection; further requests stay unread until a response is
         * sent.
         */
        public Builder pipelinedRequests(int value) {
            pipelinedRequests = atLeastOne("pipelinedRequests", value);
            return this;
        }

        /** Number of I/O threads for caller connections and for upstream connections. */
        public Builder ioThreads(int caller, int upstream) {
            callerThreads = atLeastOne("caller", caller);
            upstreamThreads = atLeastOne("upstream", upstream);
            return this;
        }

        /** Maximum size of a request or response head, in bytes and in header lines. */
        public Builder headLimits(int bytes, int headers) {
            maxHeadBytes = atLeastOne("bytes", bytes);
            maxHeaderCount = atLeastOne("headers", headers);
            return this;
        }

        /**
         * Maximum number of interim responses (1xx) that a server may send before its final response to one request.
         */
        public Builder maxInterimResponses(int value) {
            maxInterimResponses = atLeastOne("value", value);
            return this;
        }

        /** Maximum size of a request body in bytes. */
        public Builder maxBodyBytes(long value) {
            maxBodyBytes = value;
            return this;
        }

        /** Maximum time from the first byte of a request head to its end. */
        public Builder headTimeout(Duration value) {
            headTimeout = positive("headTimeout", value);
            return this;
        }

        /** Maximum time to read ahead the first part of a request body, and later between two of its bytes. */
        public Builder bodyTimeout(Duration value) {
            bodyTimeout = positive("bodyTimeout", value);
            return this;
        }

        /** Maximum time that a caller's connection may stay without a request. */
        public Builder callerIdleTimeout(Duration value) {
            callerIdleTimeout = positive("callerIdleTimeout", value);
            return this;
        }

        /** Maximum number of caller connections; further ones are closed when they are accepted. */
        public Builder maxCallerConnections(int value) {
            maxCallerConnections = atLeastOne("maxCallerConnections", value);
            return this;
        }

        /** Maximum time to open a connection to an upstream server. */
        public Builder connectTimeout(Duration value) {
            connectTimeout = positive("connectTimeout", value);
            return this;
        }

        /** How long an idle upstream connection stays open. */
        public Builder upstreamIdleExpiry(Duration value) {
            upstreamIdleExpiry = positive("upstreamIdleExpiry", value);
            return this;
        }

        /** Maximum time between two bytes of a response, from the upstream server or to the caller. */
        public Builder answerIdleTimeout(Duration value) {
            answerIdleTimeout = positive("answerIdleTimeout", value);
            return this;
        }

        /** Header names and status conventions. */
        public Builder wireRules(WireRules value) {
            wireRules = value;
            return this;
        }

        /** Adds an address to listen on, with the policy for its requests. */
        public Builder additionalListener(InetSocketAddress address, RequestPolicy policy) {
            additionalListeners.put(address, policy);
            return this;
        }

        /**
         * Adds an address to listen on whose connections are not counted as callers', so that its few users are served
         * whatever the number of callers.
         */
        public Builder reservedListener(InetSocketAddress address, RequestPolicy policy) {
            reservedPorts.add(address.getPort());
            return additionalListener(address, policy);
        }

        /** Receives the progress of the threads; by default nobody checks it. */
        public Builder supervisor(Supervisor value) {
            supervisor = value;
            return this;
        }

        /** Builds the settings. */
        public ProxySettings build() {
            return new ProxySettings(this);
        }

        private static int atLeastOne(String name, int value) {
            if (value < 1) {
                throw new IllegalArgumentException(name + ": expected at least 1, got " + value);
            }
            return value;
        }

        private static Duration positive(String name, Duration value) {
            if (value.isNegative() || value.isZero()) {
                throw new IllegalArgumentException(name + ": expected a positive duration, got " + value);
            }
            return value;
        }
    }
}
