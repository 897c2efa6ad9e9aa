package org.auburnhoist.core.configuration;

import java.util.HashMap;
import java.util.Map;

/** Checks that concern more than one declaration. */
final class ConsistencyValidator {
    private final Sections sections;
    private final FindingCollector findings;

    ConsistencyValidator(Sections sections, FindingCollector findings) {
        this.sections = sections;
        this.findings = findings;
    }

    void run() {
        checkKeys();
        checkServers();
        checkReferences(sections.keys());
        checkReferences(sections.routes());
        checkRouteOverlaps();
    }

    private void checkKeys() {
        Map<String, SourceLocation> hashes = new HashMap<>();
        forEach(sections.keys(), (place, key) -> {
            SourceLocation earlier = hashes.putIfAbsent(key.secretSha256(), place);
            if (earlier != null) {
                String found = "the hash of " + earlier.path() + " at " + earlier.reference();
                findings.add(field(place, "secret-sha256"), "another secret for each key", found);
            }
        });
    }

    private void checkServers() {
        Map<String, String> owners = new HashMap<>();
        forEach(sections.services(), (place, service) -> {
            for (Server server : service.servers()) {
                String owner = service.name() + "." + server.name();
                String earlier = owners.putIfAbsent(server.address(), owner);
                if (earlier != null) {
                    String found = server.address() + " of " + earlier + " again";
                    findings.add(field(place, "servers." + server.name()), "another address for each server", found);
                }
            }
        });
    }

    private <T> void checkReferences(Section<T> section) {
        for (Declaration<T> declared : section.declarations().values()) {
            declared.references().forEach(reference -> checkReference(declared.place(), reference));
        }
    }

    private void checkReference(SourceLocation place, Reference reference) {
        boolean toService = reference.field().equals(EntryReaders.SERVICE);
        Section<?> targets = toService ? sections.services() : sections.teams();
        if (!targets.declares(reference.target())) {
            String path = place.path() + "." + reference.field();
            findings.add(
                    new SourceLocation(place.file(), reference.line(), reference.column(), path),
                    toService ? "the name of a declared service" : "the name of a declared team",
                    FindingCollector.excerptText(reference.target()));
        }
    }

    private void checkRouteOverlaps() {
        Map<String, SourceLocation> owners = new HashMap<>();
        forEach(sections.routes(), (place, route) -> {
            for (String method : route.methods()) {
                SourceLocation earlier = owners.putIfAbsent(method + " " + route.pathPrefix(), place);
                if (earlier != null) {
                    String found = method + " " + route.pathPrefix() + " of " + earlier.path() + " at "
                            + earlier.reference() + " again";
                    findings.add(field(place, "path"), "one route for each method and path", found);
                }
            }
        });
    }

    private static SourceLocation field(SourceLocation place, String name) {
        return new SourceLocation(place.file(), place.line(), place.column(), place.path() + "." + name);
    }

    private static <T> void forEach(Section<T> section, Check<T> check) {
        for (Declaration<T> declared : section.declarations().values()) {
            T value = declared.value();
            if (value != null) {
                check.check(declared.place(), value);
            }
        }
    }

    /** Looks at one declaration without findings of its own. */
    private interface Check<T> {
        void check(SourceLocation place, T value);
    }
}
