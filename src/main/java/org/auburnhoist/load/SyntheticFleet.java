package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Roster;

/** Generates rosters and configurations of any size, with names as long as those of real deployments. */
final class SyntheticFleet {
    private static final int DATA_CENTRES = 8;

    private SyntheticFleet() {}

    static Member member(int number, long incarnation) {
        HostId id = new HostId(String.format(Locale.ROOT, "entry-%04d", number), incarnation);
        String address = "10." + number % DATA_CENTRES + "." + number / 250 + "." + (1 + number % 250);
        return new Member(
                id, address + ":7400", address + ":8080", dataCentre(number), MemberState.SERVING, 1_000 + number);
    }

    static String dataCentre(int number) {
        return "gulf-south-" + number % DATA_CENTRES;
    }

    /** Returns a settled roster whose members joined one after the other. */
    static Roster roster(int hosts) {
        SplittableRandom random = new SplittableRandom(hosts);
        List<Member> members = new ArrayList<>();
        for (int number = 0; number < hosts; number++) {
            members.add(member(number, random.nextLong()));
        }
        Roster owned =
                Roster.bootstrap(members.get(0), Roster.DEFAULT_SHARD_COUNT).rebuild(members);
        long version = 10_000;
        return new Roster(version, version, 2_000, members, List.of(), owned.shards());
    }

    /** Returns the roster after a number of unsettled changes of one member each. */
    static Roster unsettled(Roster settled, int changes) {
        Roster next = settled;
        for (int change = 0; change < changes; change++) {
            next = change % 2 == 0
                    ? next.remove(Set.of(next.members().get(0).id()))
                    : next.join(member(5_000 + change, change));
        }
        return next;
    }

    /** Returns the freshness tables of two members that have pulled from all others. */
    static List<FreshnessTable> tables(Roster roster, long nowNanos) {
        List<FreshnessTable> result = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            HostId self = roster.members().get(index).id();
            FreshnessTable table = new FreshnessTable(self, MembershipSettings.STANDARD, roster, 2_000, nowNanos);
            for (Member other : roster.members()) {
                FreshnessTable single =
                        new FreshnessTable(other.id(), MembershipSettings.STANDARD, roster, 2_000, nowNanos);
                table.merge(other.id(), nowNanos, single.answer(nowNanos), nowNanos);
            }
            result.add(table);
        }
        return result;
    }

    /**
     * Returns the configuration files of a deployment.
     *
     * @param teamFiles number of files among which the teams, and likewise the keys, are divided
     */
    static List<ConfigurationFile> files(int teams, int routes, int services, int servers, int teamFiles) {
        List<ConfigurationFile> files = new ArrayList<>();
        for (int file = 0; file < teamFiles; file++) {
            String suffix = String.format(Locale.ROOT, "%02d.yaml", file);
            int from = teams * file / teamFiles;
            int to = teams * (file + 1) / teamFiles;
            files.add(ConfigurationFile.of("teams-" + suffix, teamsText(from, to)));
            files.add(ConfigurationFile.of("keys-" + suffix, keysText(from, to)));
        }
        files.add(ConfigurationFile.of("routes.yaml", routesText(routes, services)));
        files.add(ConfigurationFile.of("services.yaml", servicesText(services, servers)));
        return files;
    }

    static String team(int number) {
        return String.format(Locale.ROOT, "parish-team-%05d", number);
    }

    static String teamsText(int from, int to) {
        StringBuilder text = new StringBuilder("teams:\n");
        for (int number = from; number < to; number++) {
            text.append("  ").append(team(number)).append(":\n");
            text.append("    rate-per-second: ").append(1 + number % 40).append('\n');
            text.append("    burst: ").append(3 + number % 80).append('\n');
            text.append("    weight: ").append(1 + number % 4).append('\n');
        }
        return text.toString();
    }

    private static String keysText(int from, int to) {
        StringBuilder text = new StringBuilder("keys:\n");
        for (int number = from; number < to; number++) {
            SplittableRandom random = new SplittableRandom(number);
            text.append("  ").append(team(number)).append("-2026:\n");
            text.append("    team: ").append(team(number)).append('\n');
            text.append("    secret-sha256: \"");
            for (int part = 0; part < 4; part++) {
                text.append(String.format(Locale.ROOT, "%016x", random.nextLong()));
            }
            text.append("\"\n");
        }
        return text.toString();
    }

    private static String routesText(int routes, int services) {
        StringBuilder text = new StringBuilder("routes:\n");
        for (int number = 0; number < routes; number++) {
            text.append("  route-").append(number).append(":\n");
            text.append("    methods: [GET, HEAD]\n");
            text.append("    path: ").append(path(number)).append('\n');
            text.append("    service: service-").append(number % services).append('\n');
            text.append("    class: lookup\n    callers: every-team\n    timeout: 3s\n");
        }
        return text.toString();
    }

    static String path(int route) {
        return "/area-" + route % 60 + "/records-" + route;
    }

    private static String servicesText(int services, int servers) {
        StringBuilder text = new StringBuilder("services:\n");
        int next = 0;
        for (int service = 0; service < services; service++) {
            text.append("  service-").append(service).append(":\n");
            text.append("    slots-per-server: 6\n    connections-per-server: 330\n    floor: 0.7\n");
            text.append("    profile: cautious\n    servers:\n");
            int count = servers * (service + 1) / services - servers * service / services;
            for (int server = 0; server < count; server++) {
                String name = "service-" + service + "-" + server;
                String address = "10." + (100 + next / 62_500) + "." + next / 250 % 250 + "." + (1 + next % 250);
                text.append("      ").append(name).append(": {address: ").append(address);
                text.append(":9000, data-centre: ").append(dataCentre(next)).append("}\n");
                next++;
            }
        }
        return text.toString();
    }
}
