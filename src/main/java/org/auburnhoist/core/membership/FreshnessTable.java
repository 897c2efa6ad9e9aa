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
 * Tracks how recent a host's information about the store and the other members is, measured on its own clock.
 *
 * <p>"Known as of t" for a member means that everything the member knew at t has reached this host. The bound holds
 * for any network delay, because the age is measured from the time at which this host sent the request.
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

    /** Number of rosters kept, to interpret the ages sent by hosts that do not have the newest roster yet. */
    private static final int RETAINED_ROSTERS = 16;

    private final HostId self;
    private final MembershipSettings settings;
    private final Map<HostId, PeerState> peers = new HashMap<>();
    private final TreeMap<Long, Roster> rosters = new TreeMap<>();
    private final SettledVersions settledRosters;
    private final SettledVersions settledConfigurations;
    private Roster roster;
    private List<Set<HostId>> voterSets = List.of();
    private long configurationVersion;
    private long storeKnownAsOf = NEVER;
    private long membersKnownAsOf = NEVER;

    /**
     * Creates a table that knows only the given documents. It is not fresh unless this host is the only member.
     *
     * @param self this host
     * @param settings limits
     * @param roster a valid roster, which may not contain this host
     * @param configurationVersion configuration version that this host holds, 0 for none
     * @param nowNanos current time
     */
    public FreshnessTable(
            HostId self, MembershipSettings settings, Roster roster, long configurationVersion, long nowNanos) {
        this.self = self;
        this.settings = settings;
        this.roster = roster;
        this.configurationVersion = configurationVersion;
        this.settledRosters = new SettledVersions(settings.takeoverWaitNanos());
        this.settledConfigurations = new SettledVersions(settings.takeoverWaitNanos());
        replaceRoster(roster, nowNanos);
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
        replaceRoster(newer, nowNanos);
        return true;
    }

    /** Records that this host holds and applies a configuration version from now on; older versions are ignored. */
    public void adoptConfiguration(long version, long nowNanos) {
        if (version > configurationVersion) {
            configurationVersion = version;
            refresh(nowNanos);
        }
    }

    /**
     * Merges the state that a peer sent.
     *
     * @param from the answering host
     * @param sentAtNanos time on this host's clock before the request was sent
     * @param answer the peer's answer
     * @param nowNanos current time
     * @return false, with nothing changed, if the answer names a newer document than this host holds
     */
    public boolean merge(HostId from, long sentAtNanos, PullAnswer answer, long nowNanos) {
        if (answer.rosterVersion() > roster.version() || answer.configurationVersion() > configurationVersion) {
            return false;
        }
        advance(from, sentAtNanos, answer.rosterVersion(), answer.configurationVersion());
        storeKnownAsOf = Math.max(storeKnownAsOf, AgeCodec.decode(answer.storeAge(), sentAtNanos));
        Roster senderRoster = rosters.get(answer.rosterVersion());
        if (senderRoster != null && hasOneEntryPerMember(answer, senderRoster)) {
            mergeMembers(senderRoster.members(), sentAtNanos, answer);
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

    /** Whether this host may decide: its information from the store or from a quorum is within the freshness limit. */
    public boolean isFresh(long nowNanos) {
        return isWithinLimit(storeKnownAsOf, nowNanos) || isFreshByMembers(nowNanos);
    }

    /** Whether this host's information from a quorum of members is within the freshness limit. */
    public boolean isFreshByMembers(long nowNanos) {
        return isWithinLimit(membersKnownAsOf, nowNanos);
    }

    /**
     * Returns the last time at which this host is fresh if it receives no further information. A traffic thread may
     * compare this snapshot with its current time instead of calling {@link #isFresh}.
     */
    public long freshUntilNanos() {
        long knownAsOf = Math.max(storeKnownAsOf, membersKnownAsOf);
        return knownAsOf == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : knownAsOf + settings.freshnessLimit().toNanos();
    }

    /** Returns the age of this host's information from the store, empty if it has none. */
    public Optional<Duration> storeAge(long nowNanos) {
        return age(storeKnownAsOf, nowNanos);
    }

    /** Returns the age of this host's information from a member, empty if it has none; zero for itself. */
    public Optional<Duration> memberAge(HostId host, long nowNanos) {
        if (host.equals(self)) {
            return Optional.of(Duration.ZERO);
        }
        @Nullable PeerState state = peers.get(host);
        return state == null ? Optional.empty() : age(state.knownAsOf, nowNanos);
    }

    /** Whether the last contact with a member, direct or through others, or its addition here is within the limit. */
    public boolean isLive(HostId host, Duration limit, long nowNanos) {
        if (host.equals(self)) {
            return true;
        }
        @Nullable PeerState state = peers.get(host);
        return state != null && nowNanos - Math.max(state.knownAsOf, state.firstSeenAt) <= limit.toNanos();
    }

    /** Returns the answer to a pull: this host's versions, ages and acknowledgements. */
    public PullAnswer answer(long nowNanos) {
        List<Member> members = roster.members();
        byte[] ages = new byte[members.size()];
        byte[] rosterFlags = new byte[members.size()];
        byte[] configurationFlags = new byte[members.size()];
        for (int index = 0; index < ages.length; index++) {
            HostId id = members.get(index).id();
            ages[index] = (byte) (id.equals(self) ? 0 : AgeCodec.encode(knownAsOf(id), nowNanos));
            rosterFlags[index] = flag(acknowledgedRoster(id) >= roster.version());
            configurationFlags[index] = flag(acknowledgedConfiguration(id) >= configurationVersion);
        }
        int storeAge = AgeCodec.encode(storeKnownAsOf, nowNanos);
        return new PullAnswer(roster.version(), configurationVersion, storeAge, ages, rosterFlags, configurationFlags);
    }

    /** Returns the newest roster version that a member is known to hold, 0 if none. */
    public long acknowledgedRoster(HostId host) {
        return host.equals(self) ? roster.version() : stateOf(host).rosterVersion;
    }

    /** Returns the newest configuration version that a member is known to hold, 0 if none. */
    public long acknowledgedConfiguration(HostId host) {
        return host.equals(self) ? configurationVersion : stateOf(host).configurationVersion;
    }

    /** Returns the newest roster version that this host knows to be settled. */
    public long settledRosterVersion() {
        return settledRosters.newest();
    }

    /** Returns the newest configuration version that this host knows to be settled. */
    public long settledConfigurationVersion() {
        return settledConfigurations.newest();
    }

    /** Returns the time at which this host learned that this roster version, or a later one, is settled. */
    public OptionalLong rosterSettledAtNanos(long version) {
        return settledRosters.settledAt(version);
    }

    /** Returns the time at which this host learned that this configuration, or a later one, is settled. */
    public OptionalLong configurationSettledAtNanos(long version) {
        return settledConfigurations.settledAt(version);
    }

    private void replaceRoster(Roster newer, long nowNanos) {
        roster = newer;
        voterSets = newer.voterSets();
        rosters.put(newer.version(), newer);
        while (rosters.size() > RETAINED_ROSTERS) {
            rosters.pollFirstEntry();
        }
        peers.keySet().removeIf(id -> voterSets.stream().noneMatch(voters -> voters.contains(id)));
        voterSets.forEach(voters -> voters.forEach(id -> peers.computeIfAbsent(id, key -> new PeerState(nowNanos))));
        refresh(nowNanos);
    }

    private void mergeMembers(List<Member> answeredMembers, long sentAtNanos, PullAnswer answer) {
        for (int index = 0; index < answeredMembers.size(); index++) {
            long knownAsOf = AgeCodec.decode(answer.memberAges()[index] & 0xff, sentAtNanos);
            long rosterVersion = answer.acknowledgedRosters()[index] != 0 ? answer.rosterVersion() : 0;
            long configuration = answer.acknowledgedConfigurations()[index] != 0 ? answer.configurationVersion() : 0;
            advance(answeredMembers.get(index).id(), knownAsOf, rosterVersion, configuration);
        }
    }

    private void advance(HostId id, long knownAsOf, long rosterVersion, long configuration) {
        @Nullable PeerState state = peers.get(id);
        if (state != null) {
            state.knownAsOf = Math.max(state.knownAsOf, knownAsOf);
            state.rosterVersion = Math.max(state.rosterVersion, rosterVersion);
            state.configurationVersion = Math.max(state.configurationVersion, configuration);
        }
    }

    private void refresh(long nowNanos) {
        membersKnownAsOf = quorumValue(this::knownAsOf);
        long settledHere = quorumValue(this::acknowledgedRoster);
        settledRosters.record(Math.max(settledHere, roster.settledVersion()), nowNanos);
        settledConfigurations.record(quorumValue(this::acknowledgedConfiguration), nowNanos);
    }

    /** Returns the largest value that a quorum reaches: a strict majority of each voter set has at least this value. */
    private long quorumValue(ToLongFunction<HostId> valueOf) {
        long result = Long.MAX_VALUE;
        for (Set<HostId> voters : voterSets) {
            long[] values = voters.stream().mapToLong(valueOf).sorted().toArray();
            int majority = values.length / 2 + 1;
            result = Math.min(result, values.length == 0 ? NEVER : values[values.length - majority]);
        }
        return result;
    }

    private long knownAsOf(HostId id) {
        return id.equals(self) ? Long.MAX_VALUE : stateOf(id).knownAsOf;
    }

    private PeerState stateOf(HostId id) {
        return peers.getOrDefault(id, PeerState.NONE);
    }

    private boolean isWithinLimit(long knownAsOf, long nowNanos) {
        return knownAsOf != NEVER
                && (knownAsOf >= nowNanos
                        || nowNanos - knownAsOf <= settings.freshnessLimit().toNanos());
    }

    private static Optional<Duration> age(long knownAsOf, long nowNanos) {
        return knownAsOf == NEVER ? Optional.empty() : Optional.of(Duration.ofNanos(Math.max(0, nowNanos - knownAsOf)));
    }

    private static boolean hasOneEntryPerMember(PullAnswer answer, Roster senderRoster) {
        int count = senderRoster.members().size();
        return answer.memberAges().length == count
                && answer.acknowledgedRosters().length == count
                && answer.acknowledgedConfigurations().length == count;
    }

    private static byte flag(boolean set) {
        return (byte) (set ? 1 : 0);
    }

    private static final class PeerState {
        static final PeerState NONE = new PeerState(NEVER);

        final long firstSeenAt;
        long knownAsOf = NEVER;
        long rosterVersion;
        long configurationVersion;

        PeerState(long firstSeenAt) {
            this.firstSeenAt = firstSeenAt;
        }
    }
}
