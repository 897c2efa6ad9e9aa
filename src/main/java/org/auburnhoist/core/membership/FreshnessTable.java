package org.auburnhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.PullAnswer;
import org.jspecify.annotations.Nullable;

/**
 * What a host knows, and as of when on its own clock.
 *
 * <p>"Known as of t" for a member means that everything the member knew at t has reached this host. The bound holds
 * whatever the network delay, because each exchange is measured from its question on the asking host's clock.
 *
 * <pre>{@code
 * long sentAt = System.nanoTime();
 * PullAnswer answer = ask(peer);
 * // First fetch and adopt the documents that the answer shows to be newer.
 * table.merge(peer, sentAt, answer, System.nanoTime());
 * if (!table.isFresh(System.nanoTime())) {
 *     refuse(Refusal.HOST_ISOLATED);
 * }
 * }</pre>
 */
public final class FreshnessTable {
    private static final long NEVER = AgeCodec.NEVER;

    /** Older rosters kept to read the ages of hosts that have not yet got the newest one. */
    private static final int ROSTERS_KEPT = 16;

    private final HostId self;
    private final MembershipSettings settings;
    private final Map<HostId, Knowledge> known = new HashMap<>();
    private final TreeMap<Long, Roster> rosters = new TreeMap<>();
    private final SettledVersions settledRosters;
    private final SettledVersions settledConfigurations;
    private Roster roster;
    private List<Set<HostId>> electorates = List.of();
    private long configurationVersion;
    private long storeKnownAsOf = NEVER;
    private long membersKnownAsOf = NEVER;

    /**
     * Starts a table that knows only the given documents and is not fresh, unless this host is the only member.
     *
     * @param self this host
     * @param settings limits
     * @param roster a valid roster, perhaps without this host
     * @param configurationVersion configuration version that this host holds, 0 for none
     * @param nowNanos present time
     */
    public FreshnessTable(
            HostId self, MembershipSettings settings, Roster roster, long configurationVersion, long nowNanos) {
        this.self = self;
        this.settings = settings;
        this.roster = roster;
        this.configurationVersion = configurationVersion;
        this.settledRosters = new SettledVersions(settings.takeoverWaitNanos());
        this.settledConfigurations = new SettledVersions(settings.takeoverWaitNanos());
        useRoster(roster, nowNanos);
    }

    /** Returns this host. */
    public HostId self() {
        return self;
    }

    /** Returns the newest roster that this host adopted. */
    public Roster roster() {
        return roster;
    }

    /** Returns the newest configuration version that this host adopted. */
    public long configurationVersion() {
        return configurationVersion;
    }

    /**
     * Adopts a newer roster.
     *
     * @return whether the host now holds this roster version or a newer one; false if it must get configuration
     *     {@link Roster#configurationVersion()} first
     */
    public boolean adoptRoster(Roster newer, long nowNanos) {
        if (newer.version() <= roster.version()) {
            return true;
        }
        if (newer.configurationVersion() > configurationVersion) {
            return false;
        }
        useRoster(newer, nowNanos);
        return true;
    }

    /** Records that this host holds a configuration and decides by it from now on; older versions are ignored. */
    public void adoptConfiguration(long version, long nowNanos) {
        if (version > configurationVersion) {
            configurationVersion = version;
            refresh(nowNanos);
        }
    }

    /**
     * Takes over what a peer knows.
     *
     * @param from the answering host
     * @param sentAtNanos time on this host's clock before the question was sent
     * @param answer the peer's answer
     * @param nowNanos present time
     * @return false, with nothing changed, if the answer names a newer document than this host holds
     */
    public boolean merge(HostId from, long sentAtNanos, PullAnswer answer, long nowNanos) {
        if (answer.rosterVersion() > roster.version() || answer.configurationVersion() > configurationVersion) {
            return false;
        }
        raise(from, sentAtNanos, answer.rosterVersion(), answer.configurationVersion());
        storeKnownAsOf = Math.max(storeKnownAsOf, AgeCodec.decode(answer.storeAge(), sentAtNanos));
        Roster order = rosters.get(answer.rosterVersion());
        if (order != null && hasOneEntryPerMember(answer, order)) {
            mergeMembers(order.members(), sentAtNanos, answer);
        }
        refresh(nowNanos);
        return true;
    }

    /**
     * Records a linearizable read of both documents.
     *
     * @param readSentAtNanos time before the read was sent
     * @param readRosterVersion version that was read
     * @param readConfigurationVersion version that was read
     * @return false, with nothing changed, if this host has not adopted both versions yet
     */
    public boolean recordStoreRead(long readSentAtNanos, long readRosterVersion, long readConfigurationVersion) {
        if (readRosterVersion > roster.version() || readConfigurationVersion > configurationVersion) {
            return false;
        }
        storeKnownAsOf = Math.max(storeKnownAsOf, readSentAtNanos);
        return true;
    }

    /** Whether this host may decide: its knowledge of the store or of a quorum is at most freshness-limit old. */
    public boolean isFresh(long nowNanos) {
        return isWithinLimit(storeKnownAsOf, nowNanos) || isFreshByMembers(nowNanos);
    }

    /** Whether this host's knowledge of a quorum of members is at most freshness-limit old. */
    public boolean isFreshByMembers(long nowNanos) {
        return isWithinLimit(membersKnownAsOf, nowNanos);
    }

    /**
     * Returns the last time at which this host is fresh if it learns nothing more. A traffic thread may compare this
     * snapshot with its present time instead of calling {@link #isFresh}.
     */
    public long freshUntilNanos() {
        long knownAsOf = Math.max(storeKnownAsOf, membersKnownAsOf);
        return knownAsOf == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : knownAsOf + settings.freshnessLimit().toNanos();
    }

    /** Returns the age of this host's knowledge of the store, empty if it has none. */
    public Optional<Duration> storeAge(long nowNanos) {
        return age(storeKnownAsOf, nowNanos);
    }

    /** Returns the age of this host's knowledge of a member, empty if it has none; zero for itself. */
    public Optional<Duration> memberAge(HostId host, long nowNanos) {
        if (host.equals(self)) {
            return Optional.of(Duration.ZERO);
        }
        @Nullable Knowledge knowledge = known.get(host);
        return knowledge == null ? Optional.empty() : age(knowledge.knownAsOf, nowNanos);
    }

    /** Whether a member was heard of, directly or through others, or was added to the roster here, so recently. */
    public boolean isLive(HostId host, Duration limit, long nowNanos) {
        if (host.equals(self)) {
            return true;
        }
        @Nullable Knowledge knowledge = known.get(host);
        return knowledge != null && nowNanos - Math.max(knowledge.knownAsOf, knowledge.firstSeenAt) <= limit.toNanos();
    }

    /** Returns the answer to a pull: this host's versions, ages and acknowledgements. */
    public PullAnswer answer(long nowNanos) {
        List<Member> members = roster.members();
        byte[] ages = new byte[members.size()];
        byte[] rosterFlags = new byte[members.size()];
        byte[] configurationFlags = new byte[members.size()];
        for (int index = 0; index < ages.length; index++) {
            HostId id = members.get(index).id();
            ages[index] = (byte) (id.equals(self) ? 0 : AgeCodec.encode(asOf(id), nowNanos));
            rosterFlags[index] = flag(acknowledgedRoster(id) >= roster.version());
            configurationFlags[index] = flag(acknowledgedConfiguration(id) >= configurationVersion);
        }
        int storeAge = AgeCodec.encode(storeKnownAsOf, nowNanos);
        return new PullAnswer(roster.version(), configurationVersion, storeAge, ages, rosterFlags, configurationFlags);
    }

    /** Returns the newest roster version that a member is known to hold, 0 if none. */
    public long acknowledgedRoster(HostId host) {
        return host.equals(self) ? roster.version() : knowledgeOf(host).rosterVersion;
    }

    /** Returns the newest configuration version that a member is known to hold, 0 if none. */
    public long acknowledgedConfiguration(HostId host) {
        return host.equals(self) ? configurationVersion : knowledgeOf(host).configurationVersion;
    }

    /** Returns the newest roster version known here to be settled. */
    public long settledRosterVersion() {
        return settledRosters.newest();
    }

    /** Returns the newest configuration version known here to be settled. */
    public long settledConfigurationVersion() {
        return settledConfigurations.newest();
    }

    /** Returns the time at which this host knew that this roster version, or a later one, is settled. */
    public OptionalLong rosterSettledAtNanos(long version) {
        return settledRosters.settledAt(version);
    }

    /** Returns the time at which this host knew that this configuration, or a later one, is settled. */
    public OptionalLong configurationSettledAtNanos(long version) {
        return settledConfigurations.settledAt(version);
    }

    private void useRoster(Roster newer, long nowNanos) {
        roster = newer;
        electorates = newer.voterSets();
        rosters.put(newer.version(), newer);
        while (rosters.size() > ROSTERS_KEPT) {
            rosters.pollFirstEntry();
        }
        known.keySet().removeIf(id -> electorates.stream().noneMatch(electorate -> electorate.contains(id)));
        electorates.forEach(
                electorate -> electorate.forEach(id -> known.computeIfAbsent(id, key -> new Knowledge(nowNanos))));
        refresh(nowNanos);
    }

    private void mergeMembers(List<Member> order, long sentAtNanos, PullAnswer answer) {
        for (int index = 0; index < order.size(); index++) {
            long knownAsOf = AgeCodec.decode(answer.memberAges()[index] & 0xff, sentAtNanos);
            long rosterVersion = answer.acknowledgedRosters()[index] != 0 ? answer.rosterVersion() : 0;
            long configuration = answer.acknowledgedConfigurations()[index] != 0 ? answer.configurationVersion() : 0;
            raise(order.get(index).id(), knownAsOf, rosterVersion, configuration);
        }
    }

    private void raise(HostId id, long knownAsOf, long rosterVersion, long configuration) {
        @Nullable Knowledge knowledge = known.get(id);
        if (knowledge != null) {
            knowledge.knownAsOf = Math.max(knowledge.knownAsOf, knownAsOf);
            knowledge.rosterVersion = Math.max(knowledge.rosterVersion, rosterVersion);
            knowledge.configurationVersion = Math.max(knowledge.configurationVersion, configuration);
        }
    }

    private void refresh(long nowNanos) {
        membersKnownAsOf = quorumValue(this::asOf);
        long settledHere = quorumValue(this::acknowledgedRoster);
        settledRosters.record(Math.max(settledHere, roster.settledVersion()), nowNanos);
        settledConfigurations.record(quorumValue(this::acknowledgedConfiguration), nowNanos);
    }

    /** Returns the largest value that a quorum reaches: in each electorate, a strict majority has at least it. */
    private long quorumValue(ToLongFunction<HostId> valueOf) {
        long result = Long.MAX_VALUE;
        for (Set<HostId> electorate : electorates) {
            long[] values = electorate.stream().mapToLong(valueOf).sorted().toArray();
            int majority = values.length / 2 + 1;
            result = Math.min(result, values.length == 0 ? NEVER : values[values.length - majority]);
        }
        return result;
    }

    private long asOf(HostId id) {
        return id.equals(self) ? Long.MAX_VALUE : knowledgeOf(id).knownAsOf;
    }

    private Knowledge knowledgeOf(HostId id) {
        return known.getOrDefault(id, Knowledge.NONE);
    }

    private boolean isWithinLimit(long knownAsOf, long nowNanos) {
        return knownAsOf != NEVER
                && (knownAsOf >= nowNanos
                        || nowNanos - knownAsOf <= settings.freshnessLimit().toNanos());
    }

    private static Optional<Duration> age(long knownAsOf, long nowNanos) {
        return knownAsOf == NEVER ? Optional.empty() : Optional.of(Duration.ofNanos(Math.max(0, nowNanos - knownAsOf)));
    }

    private static boolean hasOneEntryPerMember(PullAnswer answer, Roster order) {
        int count = order.members().size();
        return answer.memberAges().length == count
                && answer.acknowledgedRosters().length == count
                && answer.acknowledgedConfigurations().length == count;
    }

    private static byte flag(boolean set) {
        return (byte) (set ? 1 : 0);
    }

    private static final class Knowledge {
        static final Knowledge NONE = new Knowledge(NEVER);

        final long firstSeenAt;
        long knownAsOf = NEVER;
        long rosterVersion;
        long configurationVersion;

        Knowledge(long firstSeenAt) {
            this.firstSeenAt = firstSeenAt;
        }
    }
}
