package org.auburnhoist.host;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.membership.LeavingHostTracker;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.store.HostList;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** Reads the platform's list of hosts, if one is configured, and tracks the hosts that it marks as leaving. */
final class HostListController {
    /** Time between two reads. A mark is only a hint, so reading more often has no benefit. */
    static final Duration READ_INTERVAL = Duration.ofSeconds(3);

    private final Blackboard board;
    private final ControlThread control;
    private final @Nullable HostList list;
    private final LeavingHostTracker leavingHosts = new LeavingHostTracker();
    private boolean reading;
    private boolean available = true;

    /**
     * Creates a controller.
     *
     * @param board control state
     * @param control thread that handles the results of reads
     * @param list the platform's list, or null if it is not used
     */
    HostListController(Blackboard board, ControlThread control, @Nullable HostList list) {
        this.board = board;
        this.control = control;
        this.list = list;
    }

    /** Starts a read of the list; the marks are updated when the result arrives. */
    void read() {
        if (list == null || reading || board.roster() == null) {
            return;
        }
        reading = true;
        list.read()
                .thenAccept(result -> control.execute(now -> {
                    reading = false;
                    handleResult(result, now);
                }));
    }

    /**
     * Returns the members without those that the list marks as leaving; see {@link LeavingHostTracker#withoutLeaving}.
     */
    List<Member> withoutLeaving(List<Member> members, long nowNanos) {
        return leavingHosts.withoutLeaving(members, nowNanos);
    }

    private void handleResult(HostList.HostListResult result, long nowNanos) {
        Roster roster = board.roster();
        if (result instanceof HostList.HostListResult.Listed listed && roster != null) {
            Set<String> live = names(listed, HostList.HostState.LIVE);
            Set<String> leaving = names(listed, HostList.HostState.LEAVING);
            leavingHosts.update(live, leaving, roster.members(), nowNanos);
            available = true;
        } else if (result instanceof HostList.HostListResult.Unavailable unavailable && available) {
            Event.named("host-list-unavailable")
                    .with("reason", unavailable.reason())
                    .warn();
            available = false;
        }
    }

    private static Set<String> names(HostList.HostListResult.Listed listed, HostList.HostState state) {
        return listed.hosts().stream()
                .filter(host -> host.state() == state)
                .map(HostList.ListedHost::name)
                .collect(Collectors.toSet());
    }
}
