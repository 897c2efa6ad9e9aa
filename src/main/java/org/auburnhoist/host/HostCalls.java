package org.auburnhoist.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.BiConsumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.peer.CallResult;
import org.jspecify.annotations.Nullable;

/** Calls other hosts and delivers the results on the control thread. */
public interface HostCalls {
    /** Receives a result and the current time on the control thread. */
    interface ResultHandler extends BiConsumer<CallResult, Long> {}

    /** Calls whichever process listens on an address. */
    void call(InetSocketAddress address, Message request, Duration timeout, ResultHandler handler);

    /** Time at which a host last answered a call, or null if it has answered none. */
    @Nullable
    Long lastAnswerNanos(HostId host);
}
