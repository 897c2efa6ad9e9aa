package org.auburnhoist.host;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.auburnhoist.core.membership.MembershipSettings;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an entry host.
 *
 * <pre>{@code
 * HostSettings settings = HostSettings.builder("host-1", "cairo-a")
 *         .callerAddress(new InetSocketAddress("127.0.0.1", 8080))
 *         .peerAddress(new InetSocketAddress("127.0.0.1", 9080))
 *         .storeEndpoints(List.of(URI.create("http://127.0.0.1:2379")))
 *         .fleetSecret(secret)
 *         .build();
 * }</pre>
 */
public final class HostSettings {
    private static final Duration DEFAULT_STOP_LIMIT = Duration.ofSeconds(60);
    private static final Duration DEFAULT_ADDRESS_VALIDITY = Duration.ofSeconds(10);

    private final Builder values;

    private HostSettings(Builder values) {
        this.values = values;
    }

    /**
     * Starts a builder.
     *
     * @param name the host's name, unique in the fleet
     * @param dataCentre name of its data centre
     */
    public static Builder builder(String name, String dataCentre) {
        return new Builder(name, dataCentre);
    }

    /** The host's name. */
    public String name() {
        return values.name;
    }

    /** Name of the host's data centre. */
    public String dataCentre() {
        return values.dataCentre;
    }

    /** Address to listen on for callers; port 0 selects a free port. */
    public InetSocketAddress callerAddress() {
        return values.callerAddress;
    }

    /** Address to listen on for other hosts; port 0 selects a free port. */
    public InetSocketAddress peerAddress() {
        return values.peerAddress;
    }

    /** Addresses of the platform's store. */
    public List<URI> storeEndpoints() {
        return values.storeEndpoints;
    }

    /** Address of the platform's list of hosts, or null if it is not used. */
    public @Nullable URI hostList() {
        return values.hostList;
    }

    /** Secret that authenticates hosts to each other. */
    public String fleetSecret() {
        return values.fleetSecret;
    }

    /** Time limits of membership. */
    public MembershipSettings membership() {
        return values.membership;
    }

    /** Number of I/O threads for traffic. */
    public int trafficThreads() {
        return values.trafficThreads;
    }

    /** How long a caller may cache a response that lists host addresses. */
    public Duration addressValidity() {
        return values.addressValidity;
    }

    /** Maximum time for which a graceful shutdown waits for requests in progress. */
    public Duration stopLimit() {
        return values.stopLimit;
    }

    /** Returns a builder that is initialized with these settings. */
    public Builder toBuilder() {
        return builder(values.name, values.dataCentre)
                .callerAddress(values.callerAddress)
                .peerAddress(values.peerAddress)
                .storeEndpoints(values.storeEndpoints)
                .hostList(values.hostList)
                .fleetSecret(values.fleetSecret)
                .membership(values.membership)
                .trafficThreads(values.trafficThreads)
                .addressValidity(values.addressValidity)
                .stopLimit(values.stopLimit);
    }

    @Override
    public String toString() {
        return "HostSettings[name=" + values.name + ", dataCentre=" + values.dataCentre + "]";
    }

    /** Builder of {@link HostSettings}. */
    public static final class Builder {
        private final String name;
        private final String dataCentre;
        private InetSocketAddress callerAddress = new InetSocketAddress("127.0.0.1", 0);
        private InetSocketAddress peerAddress = new InetSocketAddress("127.0.0.1", 0);
        private List<URI> storeEndpoints = List.of();
        private @Nullable URI hostList;
        private String fleetSecret = "";
        private MembershipSettings membership = MembershipSettings.STANDARD;
        private int trafficThreads = 2;
        private Duration addressValidity = DEFAULT_ADDRESS_VALIDITY;
        private Duration stopLimit = DEFAULT_STOP_LIMIT;

        private Builder(String name, String dataCentre) {
            this.name = name;
            this.dataCentre = dataCentre;
        }

        /** Sets the address to listen on for callers. */
        public Builder callerAddress(InetSocketAddress address) {
            callerAddress = address;
            return this;
        }

        /** Sets the address to listen on for other hosts. */
        public Builder peerAddress(InetSocketAddress address) {
            peerAddress = address;
            return this;
        }

        /** Sets the addresses of the store. */
        public Builder storeEndpoints(List<URI> endpoints) {
            storeEndpoints = List.copyOf(endpoints);
            return this;
        }

        /** Sets the address of the list of hosts. */
        public Builder hostList(@Nullable URI address) {
            hostList = address;
            return this;
        }

        /** Sets the secret that authenticates hosts to each other. */
        public Builder fleetSecret(String secret) {
            fleetSecret = secret;
            return this;
        }

        /** Sets the time limits of membership. */
        public Builder membership(MembershipSettings settings) {
            membership = settings;
            return this;
        }

        /** Sets the number of I/O threads for traffic. */
        public Builder trafficThreads(int threads) {
            trafficThreads = threads;
            return this;
        }

        /** Sets how long a caller may cache a response that lists host addresses. */
        public Builder addressValidity(Duration validity) {
            addressValidity = validity;
            return this;
        }

        /** Sets the maximum time for which a graceful shutdown waits for requests in progress. */
        public Builder stopLimit(Duration limit) {
            stopLimit = limit;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @throws IllegalArgumentException if a required setting is missing
         */
        public HostSettings build() {
            if (storeEndpoints.isEmpty()) {
                throw new IllegalArgumentException("storeEndpoints: expected at least one address, got none");
            }
            if (fleetSecret.isEmpty()) {
                throw new IllegalArgumentException("fleetSecret: expected a secret, got none");
            }
            return new HostSettings(this);
        }
    }
}
