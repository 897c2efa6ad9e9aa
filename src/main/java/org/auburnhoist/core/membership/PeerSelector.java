package org.auburnhoist.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;

/** Selects random peers from all data centres for the exchange of state (gossip). */
public final class PeerSelector {
    private final RandomGenerator random;

    /** Creates a selector that uses the given random generator. */
    public PeerSelector(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the member to pull from next, empty if there is no other. */
    public Optional<Member> nextPeer(Roster roster, HostId self) {
        List<Member> others = others(roster, self);
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
    }

    /** Returns up to {@code count} distinct members to push a new version to. */
    public List<Member> randomPeers(Roster roster, HostId self, int count) {
        List<Member> others = new ArrayList<>(others(roster, self));
        int taken = Math.min(count, others.size());
        for (int index = 0; index < taken; index++) {
            int chosen = index + random.nextInt(others.size() - index);
            Collections.swap(others, index, chosen);
        }
        return List.copyOf(others.subList(0, taken));
    }

    private static List<Member> others(Roster roster, HostId self) {
        return roster.members().stream()
                .filter(member -> !member.id().equals(self))
                .toList();
    }
}
