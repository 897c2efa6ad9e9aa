package org.auburnhoist.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.peer.CallResult;
import org.auburnhoist.peer.PeerClient;
import org.jspecify.annotations.Nullable;

/** Calls members of the roster by their id and delivers the results on the control thread. */
public final class MemberCalls {
    private final Blackboard board;
    private final PeerCalls calls;
    private final ControlThread control;

    MemberCalls(Blackboard board, PeerClient client, ControlThread control) {
        this.board = board;
        this.calls = new PeerCalls(client, control);
        this.control = control;
    }

    /**
     * Receives a result on the control thread.
     *
     * <p>An answer from another incarnation than the called one counts as not sent, because that process holds none of
     * the state of the called incarnation.
     */
    interface ResultHandler extends HostCalls.ResultHandler {}

    /** Calls a member; the handler receives the result and the current time. */
    void call(HostId target, Message request, Duration timeout, ResultHandler handler) {
        Roster roster = board.roster();
        Member member = roster == null ? null : roster.member(target).orElse(null);
        if (member == null) {
            control.execute(now -> handler.accept(new CallResult.NotSent(target + " is not in the roster"), now));
            return;
        }
        call(parseAddress(member.peerAddress()), request, timeout, (result, now) -> {
            if (result instanceof CallResult.Answered answered
                    && !answered.from().equals(target)) {
                handler.accept(new CallResult.NotSent("another incarnation answered: " + answered.from()), now);
            } else {
                handler.accept(result, now);
            }
        });
    }

    /** Lets tests block calls in one direction: calls to an address that the filter rejects end as not sent. */
    void filterLinks(Predicate<InetSocketAddress> filter) {
        calls.filterLinks(filter);
    }

    /** Calls whichever process listens on an address. */
    void call(InetSocketAddress address, Message request, Duration timeout, ResultHandler handler) {
        calls.call(address, request, timeout, handler);
    }

    /** Runs a task on the control thread after a delay. */
    void schedule(Duration delay, Runnable task) {
        control.schedule(delay, now -> task.run());
    }

    /** Time at which a member last answered a call, or null if it has answered none. */
    @Nullable
    Long lastAnswerNanos(HostId member) {
        return calls.lastAnswerNanos(member);
    }

    /** Removes the contact times of members that have left, and closes idle connections. */
    void cleanUp(long nowNanos) {
        Roster roster = board.roster();
        calls.cleanUp(id -> roster != null && roster.member(id).isEmpty(), nowNanos);
    }

    /** Parses an address of the form {@code 127.0.0.1:9080}. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address: expected ip:port, got " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Formats an address as {@code 127.0.0.1:9080}. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
