package org.auburnhoist.core.configuration;

import io.vavr.control.Either;
import java.util.List;

/** A small valid configuration, which tests modify. */
final class Samples {
    static final String SECRET = "fixture-secret-of-school-north";

    static final String VALID = """
            # Teams and their limits.
            teams:
              school: {rate-per-second: 20, burst: 40, weight: 4}
              club:
                rate-per-second: 0.5
                burst: 3
                weight: 1
            keys:
              school-north: {team: school, secret-sha256: "%s"}
              club-old: {team: club, secret-sha256: "%s", withdrawn: true}
            services:
              catalogue:
                slots-per-server: 6
                connections-per-server: 330
                floor: 0.7
                profile: cautious
                servers:
                  catalogue-1: {address: 127.0.0.1:21001, data-centre: hall-1}
                  catalogue-2: {address: "[::1]:21002", data-centre: hall-2, leaving: true}
            routes:
              search: {methods: [GET, HEAD], path: /telescopes, service: catalogue, class: lookup,
                       callers: every-team, timeout: 2s}
              reserve: {methods: [POST], path: /telescopes, service: catalogue, class: booking,
                        callers: [school], timeout: 800ms}
              hours: {methods: [GET], path: /, service: catalogue, class: lookup, callers: anyone, timeout: 1m}
            """.formatted(Sha256.hex(SECRET), Sha256.hex("fixture-secret-of-club"));

    private Samples() {}

    static FleetConfiguration configuration() {
        return read(VALID).get();
    }

    static Either<List<Finding>, FleetConfiguration> read(String text) {
        return ConfigurationReader.read(7, List.of(ConfigurationFile.of("fleet.yaml", text)));
    }
}
