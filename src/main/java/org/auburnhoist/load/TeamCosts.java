package org.auburnhoist.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.auburnhoist.core.blackboard.ActiveConfiguration;
import org.auburnhoist.core.configuration.ConfigurationChunks;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationHead;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.limit.LimitSettings;
import org.auburnhoist.core.limit.OwnershipPeriod;
import org.auburnhoist.core.limit.ShardView;
import org.auburnhoist.core.limit.TokenBuckets;
import org.auburnhoist.core.limit.TokenReserves;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.ChunkAnswer;
import org.auburnhoist.core.message.ChunkRequest;
import org.auburnhoist.core.message.DocumentAnswer;
import org.auburnhoist.core.message.DocumentKind;
import org.auburnhoist.core.message.DocumentRequest;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.peer.FrameCodec;

/** Measures the costs that depend on the number of teams. */
final class TeamCosts {
    private static final int[] TEAMS = {100, 1_000, 10_000, 81_000};
    private static final int WARM_UP_TEAMS = 1_000;
    private static final int TEAM_FILES = 16;
    private static final int EDITS = 20;
    private static final long NOW = 1_000_000_000_000L;
    private static final String APPLIED_AT = "2026-12-04T03:00:00Z";

    private final FrameCodec wire = new FrameCodec();
    private final CostSeries fileBytes = series("configuration files", "bytes");
    private final CostSeries readWhole = series("ConfigurationReader, all files", "ms");
    private final CostSeries readChanged = series("ConfigurationReader, one team file of 16 changed", "ms");
    private final CostSeries index = series("ActiveConfiguration.of", "ms");
    private final CostSeries heap = series("active configuration", "bytes of heap");
    private final CostSeries readerHeap = series("ConfigurationReader with its parsed files", "bytes of heap");
    private final CostSeries headBytes = series("frame of a changed head", "bytes");
    private final CostSeries changeBytes = series("all frames of a small change", "bytes");
    private final CostSeries bucketTime = series("TokenBuckets.request", "us");
    private final CostSeries bucketHeap = series("TokenBuckets, all buckets in use", "bytes of heap");
    private final CostSeries bucketConfigure = series("TokenBuckets.configure, one team changed", "ms");
    private final CostSeries reserveTime = series("TokenReserves.decide", "us");
    private final CostSeries reserveHeap = series("TokenReserves, all teams in use", "bytes of heap");
    private final CostSeries reserveExpired = series("TokenReserves.expired, all teams in use", "us");

    private static CostSeries series(String name, String unit) {
        return new CostSeries(name, "teams", unit);
    }

    void run() {
        for (int pass = 0; pass < 2; pass++) {
            for (int teams : TEAMS) {
                if (pass == 0 && teams > WARM_UP_TEAMS) {
                    continue;
                }
                List<ConfigurationFile> files = SyntheticFleet.files(teams, 40, 6, 60, TEAM_FILES);
                measureReading(teams, files);
                measureChange(teams, files);
                measureLimits(teams, read(files).teams());
            }
        }
        CostSeries.printHeading("Costs by teams (40 routes, 60 servers)");
        List.of(fileBytes, readWhole, readChanged, index, heap, readerHeap, headBytes, changeBytes)
                .forEach(CostSeries::print);
        List.of(bucketTime, bucketHeap, bucketConfigure, reserveTime, reserveHeap, reserveExpired)
                .forEach(CostSeries::print);
    }

    static FleetConfiguration read(List<ConfigurationFile> files) {
        return ConfigurationReader.read(1, files)
                .getOrElseThrow(findings -> new IllegalStateException("configuration: " + findings.get(0)));
    }

    private void measureReading(int teams, List<ConfigurationFile> files) {
        fileBytes.add(
                teams, files.stream().mapToDouble(file -> file.content().length).sum());
        readWhole.add(teams, CostMeter.millis(() -> read(files)));
        ConfigurationReader reader = new ConfigurationReader();
        reader.readIncrementally(1, files);
        int[] edit = new int[1];
        readChanged.add(teams, CostMeter.millis(() -> reader.readIncrementally(2, edited(files, edit[0]++, EDITS))));
        FleetConfiguration configuration = read(files);
        index.add(teams, CostMeter.millis(() -> ActiveConfiguration.of(configuration)));
        heap.add(teams, CostMeter.bytes(() -> ActiveConfiguration.of(read(files))));
        readerHeap.add(teams, CostMeter.bytes(() -> {
            ConfigurationReader kept = new ConfigurationReader();
            kept.readIncrementally(1, files);
            return kept;
        }));
    }

    /** Returns the files with one line of a team file changed, at a position that varies with the edit number. */
    static List<ConfigurationFile> edited(List<ConfigurationFile> files, int edit, int edits) {
        List<ConfigurationFile> result = new ArrayList<>(files);
        int chosen = 2 * (edit % (files.size() / 2 - 1));
        ConfigurationFile before = result.get(chosen);
        String text = new String(before.content(), StandardCharsets.UTF_8);
        int position = text.indexOf("    weight: ", (int) ((long) text.length() * (edit % edits) / (edits + 1)));
        String changed = text.substring(0, position) + "    weight: " + (10 + edit % 80)
                + text.substring(text.indexOf('\n', position));
        result.set(chosen, ConfigurationFile.of(before.name(), changed));
        return result;
    }

    private void measureChange(int teams, List<ConfigurationFile> files) {
        double[] heads = new double[EDITS];
        double[] totals = new double[EDITS];
        for (int edit = 0; edit < EDITS; edit++) {
            long[] bytes = changeBytes(files, edit);
            heads[edit] = bytes[0];
            totals[edit] = bytes[1];
        }
        headBytes.add(teams, CostMeter.median(heads));
        changeBytes.add(teams, CostMeter.median(totals));
    }

    /** Returns the bytes of the head's frame, and of all frames that a host exchanges to fetch one changed file. */
    long[] changeBytes(List<ConfigurationFile> files, int edit) {
        ConfigurationHead head = ConfigurationHead.NONE;
        for (int change = 0; change < ConfigurationHead.MAX_HISTORY; change++) {
            head = head.next(change(head.version() + 1), change == 0 ? files : List.of(files.get(0)), Set.of());
        }
        List<ConfigurationFile> after = edited(files, edit, EDITS);
        List<ConfigurationFile> replaced =
                after.stream().filter(file -> !files.contains(file)).toList();
        ConfigurationHead next = head.next(change(head.version() + 1), replaced, Set.of());
        long headFrame = wire.frameSize(new DocumentAnswer(DocumentKind.CONFIGURATION, next.version(), next.toBytes()));
        long total = headFrame + wire.frameSize(new DocumentRequest(DocumentKind.CONFIGURATION, next.version()));
        Set<String> known = head.chunks();
        Map<String, byte[]> sent = new HashMap<>();
        replaced.forEach(file ->
                ConfigurationChunks.split(file.content()).forEach(chunk -> sent.put(chunk.digest(), chunk.content())));
        for (String digest : new HashSet<>(next.chunks())) {
            byte[] content = sent.get(digest);
            if (content != null && !known.contains(digest)) {
                total += wire.frameSize(new ChunkRequest(digest));
                total += wire.frameSize(new ChunkAnswer(digest, true, content));
            }
        }
        return new long[] {headFrame, total};
    }

    private static ConfigurationHead.Change change(long version) {
        String id = String.format(Locale.ROOT, "%032x", version);
        return new ConfigurationHead.Change(version, id, "county-operator", APPLIED_AT, "replaced teams-03.yaml");
    }

    private void measureLimits(int teams, Map<String, Team> declared) {
        List<String> names = List.copyOf(declared.keySet());
        TokenBuckets buckets = buckets(declared);
        bucketTime.add(
                teams,
                CostMeter.micros(call -> buckets.request(
                        new TokenRequest(names.get((int) (call * 7919 % names.size())), (int) (call & 1), 1),
                        NOW + call * 1_000)));
        bucketHeap.add(teams, CostMeter.bytes(() -> used(buckets(declared), names)));
        Map<String, Team> changed = new HashMap<>(declared);
        changed.put(names.get(0), new Team(names.get(0), 77, 99, 1));
        boolean[] flip = new boolean[1];
        bucketConfigure.add(teams, CostMeter.millis(() -> {
            flip[0] = !flip[0];
            buckets.configure(flip[0] ? changed : declared, NOW);
        }));
        Roster roster = SyntheticFleet.roster(890);
        TokenReserves reserves = reserves(roster, declared);
        reserveTime.add(
                teams,
                CostMeter.micros(
                        call -> reserves.decide(names.get((int) (call * 7919 % names.size())), NOW + call * 1_000)));
        reserveHeap.add(teams, CostMeter.bytes(() -> {
            TokenReserves used = reserves(roster, declared);
            names.forEach(name -> used.decide(name, NOW));
            return used;
        }));
        names.forEach(name -> reserves.decide(name, NOW));
        reserveExpired.add(teams, CostMeter.micros(call -> reserves.expired(NOW + call)));
    }

    private static TokenReserves reserves(Roster roster, Map<String, Team> teams) {
        TokenReserves reserves = new TokenReserves(roster.members().get(0).id(), LimitSettings.STANDARD, roster);
        reserves.configure(teams, NOW);
        return reserves;
    }

    private static TokenBuckets buckets(Map<String, Team> teams) {
        TokenBuckets buckets = new TokenBuckets(new AllShards(), LimitSettings.STANDARD);
        buckets.configure(teams, NOW);
        return buckets;
    }

    private static TokenBuckets used(TokenBuckets buckets, List<String> names) {
        for (String name : names) {
            buckets.request(new TokenRequest(name, 0, 1), NOW);
            buckets.request(new TokenRequest(name, 1, 1), NOW);
        }
        return buckets;
    }

    /** The view of a host that owns all shards. */
    private static final class AllShards implements ShardView {
        @Override
        public int shardCount() {
            return Roster.DEFAULT_SHARD_COUNT;
        }

        @Override
        public Optional<OwnershipPeriod> activePeriod(int shard, long nowNanos) {
            return Optional.of(new OwnershipPeriod(0, NOW, true));
        }
    }
}
