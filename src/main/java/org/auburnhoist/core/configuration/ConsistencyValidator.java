package org.auburnhoist.core.configuration;

import java.util.HashMap;
import java.util.Map;

/** Validates rules that involve more than one declaration, such as references and unique addresses. */
final class ConsistencyValidator {
    private final Sections sections;
    private final FindingCollector findings;

    ConsistencyValidator(Sections sections, FindingCollector findings) {
        this.sections = sections;
        this.findings = findings;
    }

    void validate() {
        checkKeys();
        checkServers();
        checkReferences(sections.keys());
        checkReferences(sections.routes());
        checkRouteOverlaps();
    }

    private void checkKeys() {
        Map<String, SourceLocation> hashes = new HashMap<>();
        forEachValid(sections.keys(), (location, key) -> {
            SourceLocation earlier = hashes.putIfAbsent(key.secretSha256(), location);
            if (earlier != null) {
                String found = "the hash of " + earlier.path() + " at " + earlier.fileAndLine();
                findings.add(fieldLocation(location, "secret-sha256"), "another secret for each key", found);
            }
        });
    }

    private void checkServers() {
        Map<String, String> owners = new HashMap<>();
        forEachValid(sections.services(), (location, service) -> {
            for (Server server : service.servers()) {
                String owner = service.name() + "." + server.name();
                String earlier = owners.putIfAbsent(server.address(), owner);
                if (earlier != null) {
                    String found = server.address() + " of " + earlier + " again";
                    findings.add(
                            fieldLocation(location, "servers." + server.name()),
                            "another address for each server",
                            found);
                }
            }
        });
    }

    private <T> void checkReferences(Section<T> section) {
        for (Declaration<T> declared : section.declarations().values()) {
            declared.references().forEach(reference -> checkReference(declared.location(), reference));
        }
    }

    private void checkReference(SourceLocation location, Reference reference) {
        boolean toService = reference.field().equals(EntryReaders.SERVICE);
        Section<?> targets = toService ? sections.services() : sections.teams();
        if (!targets.declares(reference.target())) {
            String path = location.path() + "." + reference.field();
            findings.add(
                    new SourceLocation(location.file(), reference.line(), reference.column(), path),
                    toService ? "the name of a declared service" : "the name of a declared team",
                    FindingCollector.excerptText(reference.target()));
        }
    }

    private void checkRouteOverlaps() {
        Map<String, SourceLocation> owners = new HashMap<>();
        forEachValid(sections.routes(), (location, route) -> {
            for (String method : route.methods()) {
                SourceLocation earlier = owners.putIfAbsent(method + " " + route.pathPrefix(), location);
                if (earlier != null) {
                    String found = method + " " + route.pathPrefix() + " of " + earlier.path() + " at "
                            + earlier.fileAndLine() + " again";
                    findings.add(fieldLocation(location, "path"), "one route for each method and path", found);
                }
            }
        });
    }

    private static SourceLocation fieldLocation(SourceLocation location, String name) {
        return new SourceLocation(location.file(), location.line(), location.column(), location.path() + "." + name);
    }

    private static <T> void forEachValid(Section<T> section, Check<T> check) {
        for (Declaration<T> declared : section.declarations().values()) {
            T value = declared.value();
            if (value != null) {
                check.check(declared.location(), value);
            }
        }
    }

    /** Checks one declaration whose value was read without findings. */
    private interface Check<T> {
        void check(SourceLocation location, T value);
    }
}
