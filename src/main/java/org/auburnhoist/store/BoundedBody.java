package org.auburnhoist.store;

import java.io.IOException;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** Reads response bodies, or their lines, up to a maximum size; a larger one fails, and its connection is closed. */
final class BoundedBody {
    private BoundedBody() {}

    /**
     * Returns a handler that reads a whole body.
     *
     * @param maxBytes maximum size of the body in bytes
     */
    static BodyHandler<byte[]> ofByteArray(long maxBytes) {
        return head -> new Subscriber<>(BodyHandlers.ofByteArray().apply(head), maxBytes, false);
    }

    /**
     * Returns a handler that passes on the lines of a body, which may have any size in total.
     *
     * @param receiver receives the lines
     * @param maxLineBytes maximum size of a line in bytes
     */
    static BodyHandler<Void> ofLines(Flow.Subscriber<String> receiver, long maxLineBytes) {
        return head ->
                new Subscriber<>(BodyHandlers.fromLineSubscriber(receiver).apply(head), maxLineBytes, true);
    }

    private static final class Subscriber<T> implements BodySubscriber<T> {
        private final BodySubscriber<T> receiver;
        private final long maxBytes;
        private final boolean eachLine;
        /** Size so far of the body or the line. */
        private long bytes;

        private boolean failed;
        private Flow.@Nullable Subscription subscription;

        Subscriber(BodySubscriber<T> receiver, long maxBytes, boolean eachLine) {
            this.receiver = receiver;
            this.maxBytes = maxBytes;
            this.eachLine = eachLine;
        }

        @Override
        public CompletionStage<T> getBody() {
            return receiver.getBody();
        }

        @Override
        public void onSubscribe(Flow.Subscription started) {
            subscription = started;
            receiver.onSubscribe(started);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            if (failed) {
                return;
            }
            if (buffers.stream().allMatch(this::isWithinBound)) {
                receiver.onNext(buffers);
                return;
            }
            failed = true;
            if (subscription != null) {
                subscription.cancel();
            }
            receiver.onError(
                    new IOException((eachLine ? "line" : "body") + ": expected at most " + maxBytes + " bytes"));
        }

        /** Counts the bytes of a buffer without reading it. */
        private boolean isWithinBound(ByteBuffer buffer) {
            if (!eachLine) {
                bytes += buffer.remaining();
                return bytes <= maxBytes;
            }
            for (int index = buffer.position(); index < buffer.limit() && bytes <= maxBytes; index++) {
                bytes = buffer.get(index) == '\n' ? 0 : bytes + 1;
            }
            return bytes <= maxBytes;
        }

        @Override
        public void onError(Throwable cause) {
            if (!failed) {
                receiver.onError(cause);
            }
        }

        @Override
        public void onComplete() {
            if (!failed) {
                receiver.onComplete();
            }
        }
    }
}
