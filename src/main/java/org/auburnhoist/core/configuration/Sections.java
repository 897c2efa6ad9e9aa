package org.auburnhoist.core.configuration;

import java.util.List;
import java.util.Set;

/**
 * The declarations of one file or of several merged files.
 *
 * @param teams teams by name
 * @param keys keys by id
 * @param services services by name
 * @param routes routes by name
 */
record Sections(Section<Team> teams, Section<Key> keys, Section<Service> services, Section<Route> routes) {
    /** Names of the sections of a file. */
    static final Set<String> NAMES = Set.of("teams", "keys", "services", "routes");

    static Sections empty() {
        return new Sections(
                new Section<>("team", EntryReaders.TEAM_FIELDS, EntryReaders::team),
                new Section<>("key", EntryReaders.KEY_FIELDS, EntryReaders::key),
                new Section<>("service", EntryReaders.SERVICE_FIELDS, EntryReaders::service),
                new Section<>("route", EntryReaders.ROUTE_FIELDS, EntryReaders::route));
    }

    Section<?> named(String name) {
        return switch (name) {
            case "teams" -> teams;
            case "keys" -> keys;
            case "services" -> services;
            case "routes" -> routes;
            default -> throw new IllegalArgumentException("name: expected one of " + NAMES + ", got " + name);
        };
    }

    /** Adds the declarations of another file. */
    void merge(Sections other, FindingCollector findings) {
        teams.merge(other.teams, findings);
        keys.merge(other.keys, findings);
        services.merge(other.services, findings);
        routes.merge(other.routes, findings);
    }

    FleetConfiguration toConfiguration(long version) {
        return new FleetConfiguration(
                version,
                teams.values(),
                keys.values(),
                services.values(),
                List.copyOf(routes.values().values()));
    }
}
