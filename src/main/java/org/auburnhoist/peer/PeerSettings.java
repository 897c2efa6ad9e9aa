package org.auburnhoist.peer;

import java.time.Duration;
import org.auburnhoist.core.HostId;

/**
 * Settings of a host's links to other hosts.
 *
 * @param self id of this host
 * @param fleetSecret shared by all hosts of the fleet; at least {@value #MIN_SECRET_LENGTH} characters
 * @param connectTimeout maximum time for connecting and the handshake together
 * @param idleTimeout time without requests after which a link is closed
 */
public record PeerSettings(HostId self, String fleetSecret, Duration connectTimeout, Duration idleTimeout) {
    /** Minimum length of the fleet secret in characters. */
    public static final int MIN_SECRET_LENGTH = 16;

    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** Checks the secret's length. */
    public PeerSettings {
        if (fleetSecret.length() < MIN_SECRET_LENGTH) {
            throw new IllegalArgumentException(
                    "fleetSecret: expected at least " + MIN_SECRET_LENGTH + " characters, got " + fleetSecret.length());
        }
    }

    /** Returns settings with the default timeouts. */
    public static PeerSettings of(HostId self, String fleetSecret) {
        return new PeerSettings(self, fleetSecret, DEFAULT_CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT);
    }

    byte[] secretBytes() {
        return Handshake.secretBytes(fleetSecret);
    }

    @Override
    public String toString() {
        return "PeerSettings[self=" + self + "]";
    }
}
