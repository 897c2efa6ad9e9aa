package org.auburnhoist.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.peer.CallResult;
import org.auburnhoist.peer.PeerClient;
import org.jspecify.annotations.Nullable;

/** Calls other hosts by address and delivers the results on the control thread. */
public final class PeerCalls implements HostCalls {
    private final PeerClient client;
    private final ControlThread control;
    private final Map<HostId, Long> lastAnswerNanos = new HashMap<>();
    private volatile Predicate<InetSocketAddress> linkFilter = address -> true;

    /** Creates calls that use a client and deliver the results on the control thread. */
    public PeerCalls(PeerClient client, ControlThread control) {
        this.client = client;
        this.control = control;
    }

    @Override
    public void call(InetSocketAddress address, Message request, Duration timeout, ResultHandler handler) {
        if (!linkFilter.test(address)) {
            control.execute(now -> handler.accept(new CallResult.NotSent("the link filter rejects the address"), now));
            return;
        }
        client.call(address, request, timeout)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof CallResult.Answered answered) {
                        lastAnswerNanos.put(answered.from(), now);
                    }
                    handler.accept(result, now);
                }));
    }

    /** Lets tests block calls in one direction: calls to an address that the filter rejects end as not sent. */
    public void filterLinks(Predicate<InetSocketAddress> filter) {
        linkFilter = filter;
    }

    @Override
    public @Nullable Long lastAnswerNanos(HostId host) {
        return lastAnswerNanos.get(host);
    }

    /** Removes the contact times of hosts that match a condition, and closes idle connections. */
    public void cleanUp(Predicate<HostId> gone, long nowNanos) {
        lastAnswerNanos.keySet().removeIf(gone);
        client.closeIdle(nowNanos);
    }
}
