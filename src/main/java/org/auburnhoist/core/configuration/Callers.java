package org.auburnhoist.core.configuration;

import java.util.Set;
import org.auburnhoist.core.TrafficClass;
import org.jspecify.annotations.Nullable;

/**
 * Who may use a route: {@code anyone}, {@code every-team} or a list of teams.
 *
 * @param open whether no key is needed
 * @param teams the teams, empty for every team
 */
record Callers(boolean open, Set<String> teams) {
    static final String FIELD = "callers";
    private static final String ANYONE = "anyone";
    private static final String EVERY_TEAM = "every-team";

    /** Reads the field; a booking needs a team, because its operation is recorded for that team. */
    static @Nullable Callers read(Fields fields, @Nullable TrafficClass trafficClass, FindingCollector findings) {
        String expected = "every-team or a list of team names";
        if (trafficClass != TrafficClass.BOOKING) {
            expected = "anyone, " + expected;
        }
        YamlNode node = fields.node(FIELD, expected);
        if (node == null) {
            return null;
        }
        if (node instanceof YamlNode.Sequence) {
            Set<String> teams = fields.references(FIELD, "a list of team names, each once, at least one");
            return teams == null ? null : new Callers(false, teams);
        }
        boolean scalar = node instanceof YamlNode.Scalar;
        if (scalar && ((YamlNode.Scalar) node).text().equals(EVERY_TEAM)) {
            return new Callers(false, Set.of());
        }
        boolean anyone = scalar && ((YamlNode.Scalar) node).text().equals(ANYONE);
        if (anyone && trafficClass != TrafficClass.BOOKING) {
            return new Callers(true, Set.of());
        }
        String found = FindingCollector.excerpt(node) + (anyone ? " on a booking route" : "");
        findings.add(fields.locationOf(FIELD), expected, found);
        return null;
    }
}
