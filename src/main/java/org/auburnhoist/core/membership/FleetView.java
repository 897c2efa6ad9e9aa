package org.auburnhoist.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.auburnhoist.core.StableHash;
import org.jspecify.annotations.Nullable;

/**
 * One host's view of the fleet: the members and the time of the last known contact with each.
 *
 * <p>The list of members comes from the store, where each entry is bound to a lease. Whether a member is currently
 * alive is derived from the reports that hosts send each other. Responsibilities, such as coordinating the fleet or
 * owning a share of a team's limit, are placed by rendezvous hashing over host names, so that a host that restarts
 * under its name has the same responsibilities as before. Not thread-safe.
 */
public final class FleetView {
    /** A member without contact for longer than this, which is three missed reports, is not considered alive. */
    static final long CONTACT_TIMEOUT_NANOS = 1_600_000_000L;

    /** Unit in which hosts exchange the time since the last contact with a member. */
    private static final long CONTACT_AGE_UNIT_NANOS = 50_000_000L;
    /** Maximum code of an age, which is the age in units plus one, in a byte; such a member is not alive. */
    private static final int MAX_CONTACT_AGE_CODE = 255;

    private final FleetMember self;
    private long memberNamesHash;
    /** Sorted by name. */
    private List<Contact> contacts = List.of();

    private List<FleetMember> members = List.of();
    private Map<String, Contact> contactsByName = Map.of();
    private final Map<String, List<FleetMember>> ordersByKey = new HashMap<>();

    /** Liveness of a member as seen by this host. */
    private static final class Contact {
        private final FleetMember member;
        private boolean contacted;
        private long lastContactNanos;
        private boolean ready;
        private boolean suspected;
        private long suspectUntilNanos;

        private Contact(FleetMember member) {
            this.member = member;
        }

        private void contacted(long atNanos) {
            contacted = true;
            lastContactNanos = atNanos;
        }

        /** Whether information from the given time is no older than the last contact. */
        private boolean isAtLeastAsRecent(long atNanos) {
            return !contacted || atNanos - lastContactNanos >= 0;
        }

        private boolean isAlive(long nowNanos) {
            boolean suspect = suspected && suspectUntilNanos - nowNanos > 0;
            return !suspect && contacted && nowNanos - lastContactNanos <= CONTACT_TIMEOUT_NANOS;
        }
    }

    /** Creates a view that contains this host only. */
    public FleetView(FleetMember self) {
        this.self = self;
        adopt(new TreeMap<>(Map.of(self.id().name(), new Contact(self))));
    }

    /** Replaces the members with those read from the store; this host always remains a member. */
    public void members(List<FleetMember> present, long nowNanos) {
        TreeMap<String, Contact> next = new TreeMap<>();
        for (FleetMember member : present) {
            next.put(member.id().name(), contactOf(member, nowNanos));
        }
        Contact own = next.get(self.id().name());
        if (own == null || own.member.id().incarnation() != self.id().incarnation()) {
            next.put(self.id().name(), contactOf(self, nowNanos));
        }
        adopt(next);
    }

    private Contact contactOf(FleetMember member, long nowNanos) {
        Contact next = new Contact(member);
        Contact previous = contactsByName.get(member.id().name());
        next.ready = previous != null && previous.ready;
        if (previous == null
                || previous.member.id().incarnation() != member.id().incarnation()) {
            // A new member is considered alive until its first report is due.
            next.contacted(nowNanos);
        } else {
            next.contacted = previous.contacted;
            next.lastContactNanos = previous.lastContactNanos;
            next.suspected = previous.suspected;
            next.suspectUntilNanos = previous.suspectUntilNanos;
        }
        return next;
    }

    private void adopt(TreeMap<String, Contact> next) {
        contacts = List.copyOf(next.values());
        members = contacts.stream().map(contact -> contact.member).toList();
        contactsByName = new HashMap<>(next);
        memberNamesHash = StableHash.of(String.join("\n", next.keySet()));
        ordersByKey.clear();
    }

    /** Returns all members, sorted by name. */
    public List<FleetMember> members() {
        return members;
    }

    /** Returns the member with the given name, or null. */
    public @Nullable FleetMember member(String name) {
        Contact contact = contactsByName.get(name);
        return contact == null ? null : contact.member;
    }

    /** Records a report from a member, or an answer that says whether the member accepts callers. */
    public void recordReport(String name, boolean isReady, long atNanos) {
        Contact contact = contactsByName.get(name);
        if (contact != null && contact.isAtLeastAsRecent(atNanos)) {
            contact.contacted(atNanos);
            contact.ready = isReady;
        }
    }

    /** Records an answer to a call sent at the given time; it does not say whether the member accepts callers. */
    public void recordAnswer(String name, long sentNanos) {
        Contact contact = contactsByName.get(name);
        if (contact != null && contact.isAtLeastAsRecent(sentNanos)) {
            contact.contacted(sentNanos);
        }
    }

    /** Suspects a member that did not answer; it is not considered alive until the given time. */
    public void suspect(String name, long untilNanos) {
        Contact contact = contactsByName.get(name);
        if (contact != null) {
            contact.suspected = true;
            contact.suspectUntilNanos = untilNanos;
        }
    }

    /** Whether the last contact with a member is recent and the member is not suspected; always true for this host. */
    public boolean isAlive(String name, long nowNanos) {
        Contact contact = contactsByName.get(name);
        return isSelf(name) || (contact != null && contact.isAlive(nowNanos));
    }

    private boolean isSelf(String name) {
        return name.equals(self.id().name());
    }

    /** Returns a hash of the members' names, by which two hosts check that they refer to the same list. */
    public long memberNamesHash() {
        return memberNamesHash;
    }

    /**
     * Returns the time since the last contact with each member, encoded for another host.
     *
     * @return one byte per member, sorted by name: 0 if it does not accept callers, otherwise 1 plus the age in units
     *     of 50 ms, at most 255
     */
    public byte[] contactAges(boolean selfReady, long nowNanos) {
        byte[] ages = new byte[contacts.size()];
        for (int index = 0; index < ages.length; index++) {
            Contact contact = contacts.get(index);
            if (isSelf(contact.member.id().name())) {
                ages[index] = (byte) (selfReady ? 1 : 0);
            } else if (contact.ready && contact.contacted) {
                long units = Math.max(0, nowNanos - contact.lastContactNanos) / CONTACT_AGE_UNIT_NANOS;
                ages[index] = (byte) Math.min(MAX_CONTACT_AGE_CODE, 1 + units);
            }
        }
        return ages;
    }

    /**
     * Merges another host's {@link #contactAges}, unless the two hosts have different lists of members.
     *
     * @param otherNamesHash the other host's {@link #memberNamesHash}
     * @param ages the other host's contact ages
     * @param requestedNanos when they were requested
     */
    public void mergeContactAges(long otherNamesHash, byte[] ages, long requestedNanos) {
        if (otherNamesHash != memberNamesHash || ages.length != contacts.size()) {
            return;
        }
        for (int index = 0; index < ages.length; index++) {
            int code = ages[index] & 0xff;
            long lastContactNanos = requestedNanos - (code - 1) * CONTACT_AGE_UNIT_NANOS;
            Contact contact = contacts.get(index);
            if (code > 0 && contact.isAtLeastAsRecent(lastContactNanos)) {
                contact.contacted(lastContactNanos);
                contact.ready = true;
            }
        }
    }

    /** Returns the members that are not leaving, ranked for a responsibility; the same on all hosts. */
    public List<FleetMember> order(String placementKey) {
        return ordersByKey.computeIfAbsent(placementKey, this::computeOrder);
    }

    /** Returns the first member in the order for a responsibility that is believed to be alive. */
    public FleetMember firstAlive(String placementKey, long nowNanos) {
        for (FleetMember member : order(placementKey)) {
            if (isAlive(member.id().name(), nowNanos)) {
                return member;
            }
        }
        return self;
    }

    /** Returns at most {@code limit} hosts to which a caller can connect: alive, ready and not leaving. */
    public List<FleetMember> hostsForCallers(boolean selfReady, int limit, long nowNanos) {
        List<FleetMember> result = new ArrayList<>();
        for (Contact contact : contacts) {
            boolean acceptsCallers =
                    isSelf(contact.member.id().name()) ? selfReady : contact.ready && contact.isAlive(nowNanos);
            if (acceptsCallers && !contact.member.leaving()) {
                result.add(contact.member);
            }
        }
        return result.size() <= limit ? result : result.subList(0, limit);
    }

    private List<FleetMember> computeOrder(String placementKey) {
        return members.stream()
                .filter(member -> !member.leaving())
                .map(member -> new Candidate(member, score(placementKey, member)))
                .sorted(Comparator.comparingDouble(Candidate::score)
                        .thenComparing(candidate -> candidate.member().id().name()))
                .map(Candidate::member)
                .toList();
    }

    /** A member and its score for a responsibility; the lowest score ranks first. */
    private record Candidate(FleetMember member, double score) {}

    /** Weighted rendezvous hashing: a host gets responsibilities in proportion to its capacity. */
    private static double score(String placementKey, FleetMember member) {
        long hash = StableHash.of(placementKey + "/" + member.id().name());
        double uniform = ((hash >>> 11) + 0.5) / (1L << 53);
        return -Math.log(uniform) / Math.max(1e-6, member.capacity());
    }
}
