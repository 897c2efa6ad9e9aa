package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.HostId;

/**
 * Assigns a dispatcher to each service by rendezvous hashing, so that the loss of a member moves only its services.
 *
 * <pre>{@code
 * placement.setMembers(liveMembers);
 * HostId dispatcher = placement.order("ledger").get(0);   // later entries are fallbacks
 * }</pre>
 */
public final class DispatcherPlacement {
    private List<HostId> members = List.of();
    private final Map<String, List<HostId>> orders = new HashMap<>();

    /** Sets the members that are considered alive and are not leaving. */
    public void setMembers(Collection<HostId> alive) {
        List<HostId> sorted = alive.stream().distinct().sorted().toList();
        if (!sorted.equals(members)) {
            members = sorted;
            orders.clear();
        }
    }

    /** Returns the members in order of preference as dispatcher of the service; the order is the same on all hosts. */
    public List<HostId> order(String service) {
        return orders.computeIfAbsent(service, this::compute);
    }

    private List<HostId> compute(String service) {
        Map<HostId, Long> scores = new HashMap<>();
        members.forEach(member -> scores.put(member, score(service, member)));
        List<HostId> order = new ArrayList<>(members);
        order.sort(Comparator.comparingLong((HostId member) -> scores.getOrDefault(member, 0L))
                .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(order);
    }

    private static long score(String service, HostId member) {
        return mix(hash(service) ^ mix(hash(member.name()) ^ mix(member.incarnation())));
    }

    /** FNV-1a over the characters; {@code String.hashCode} has too few bits and collides on similar names. */
    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
        }
        return hash;
    }

    /** 64-bit finalizer of MurmurHash3, which makes every bit of the score depend on every bit of the input. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
