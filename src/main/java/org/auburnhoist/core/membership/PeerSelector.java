package org.auburnhoist.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;

/** Chooses the peers to exchange knowledge with, at random over all data centres. */
public final class PeerSelector {
    private final RandomGenerator random;

    /** Draws from the given generator. */
    public PeerSelector(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the member to pull from next, empty if there is no other. */
    public Optional<Member> nextPeer(Roster roster, HostId self) {
        List<Member> others = others(roster, self);
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
    }

    /** Returns up to {@code count} differing members to push a new version to. */
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
