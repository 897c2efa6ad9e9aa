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
    private volatile Predicate<InetSocketAddress> links = address -> true;

    /** Calls through a client; the results are delivered on the control thread. */
    public PeerCalls(PeerClient client, ControlThread control) {
        this.client = client;
        this.control = control;
    }

    @Override
    public void call(InetSocketAddress address, Message request, Duration timeout, ResultHandler handler) {
        if (!links.test(address)) {
            control.execute(now -> handler.accept(new CallResult.NotSent("the link is cut"), now));
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

    /** Lets tests cut links one way: calls to an address that the filter rejects end as not sent. */
    public void filterLinks(Predicate<InetSocketAddress> filter) {
        links = filter;
    }

    @Override
    public @Nullable Long lastAnswerNanos(HostId host) {
        return lastAnswerNanos.get(host);
    }

    /** Forgets hosts that a condition names and closes idle links. */
    public void cleanUp(Predicate<HostId> gone, long nowNanos) {
        lastAnswerNanos.keySet().removeIf(gone);
        client.closeIdle(nowNanos);
    }
}
