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

/** Reads the platform's list of hosts, if there is one, and keeps its marks. */
final class HostListController {
    /** Time between two reads; a mark is a hint, so that reading more often would gain nothing. */
    static final Duration READ_INTERVAL = Duration.ofSeconds(3);

    private final Blackboard board;
    private final ControlThread control;
    private final @Nullable HostList list;
    private final LeavingHostTracker leavingHosts = new LeavingHostTracker();
    private boolean reading;
    private boolean available = true;

    /**
     * A controller.
     *
     * @param board control state
     * @param control runs what follows an answer
     * @param list the platform's list, null if it is not used
     */
    HostListController(Blackboard board, ControlThread control, @Nullable HostList list) {
        this.board = board;
        this.control = control;
        this.list = list;
    }

    /** Reads the list; the marks change when the answer is here. */
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

    /** The members without those that the list marks as leaving; see {@link LeavingHostTracker#withoutLeaving}. */
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
