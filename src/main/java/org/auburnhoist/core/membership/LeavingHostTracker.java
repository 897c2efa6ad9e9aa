package org.auburnhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.auburnhoist.core.HostId;

/**
 * Tracks the members that the platform's host list marks as leaving. Such a member gets no new callers.
 *
 * <p>The list lags behind and contains names only, without incarnations, so it is treated as a hint:
 *
 * <ul>
 *   <li>A mark applies to the incarnations that were members when the list first showed it. A host that joins later
 *       under the same name replaces the marked one and is not affected by its old entry.
 *   <li>A mark ends when the list shows the name as live, or when it has not been confirmed for {@link #RETENTION}.
 *       Absence from the list neither sets nor ends a mark.
 *   <li>If all candidate members are marked, the marks are ignored, because callers need at least one address.
 * </ul>
 */
public final class LeavingHostTracker {
    /**
     * How long a mark is kept without confirmation. It covers a planned stop including its maximum wait for requests in
     * progress; a host that still runs afterwards is not leaving.
     */
    public static final Duration RETENTION = Duration.ofSeconds(90);

    private final Map<String, Mark> marks = new HashMap<>();

    private record Mark(Set<HostId> incarnations, long confirmedAtNanos) {}

    /**
     * Applies a newly read host list.
     *
     * @param live names that the list shows as live
     * @param leaving names that the list shows as leaving
     * @param members current members of the roster
     * @param nowNanos current time
     */
    public void update(Set<String> live, Set<String> leaving, List<Member> members, long nowNanos) {
        marks.keySet().removeIf(name -> live.contains(name) && !leaving.contains(name));
        marks.values().removeIf(mark -> isExpired(mark, nowNanos));
        for (String name : leaving) {
            Mark known = marks.get(name);
            Set<HostId> incarnations = known == null ? incarnations(members, name) : known.incarnations();
            marks.put(name, new Mark(incarnations, nowNanos));
        }
    }

    /** Whether the host is marked as leaving. */
    public boolean isLeaving(HostId host, long nowNanos) {
        Mark mark = marks.get(host.name());
        return mark != null && mark.incarnations().contains(host) && !isExpired(mark, nowNanos);
    }

    /** Returns the members without those that are leaving, or all of them if none would remain. */
    public List<Member> withoutLeaving(List<Member> members, long nowNanos) {
        List<Member> remaining = members.stream()
                .filter(member -> !isLeaving(member.id(), nowNanos))
                .toList();
        return remaining.isEmpty() ? List.copyOf(members) : remaining;
    }

    private static boolean isExpired(Mark mark, long nowNanos) {
        return nowNanos - mark.confirmedAtNanos() > RETENTION.toNanos();
    }

    private static Set<HostId> incarnations(List<Member> members, String name) {
        return members.stream()
                .map(Member::id)
                .filter(id -> id.name().equals(name))
                .collect(Collectors.toSet());
    }
}
