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

/** Reads response bodies up to a maximum size; a larger one fails, and its connection is closed. */
final class BoundedBody {
    private BoundedBody() {}

    /**
     * Returns a handler that reads a whole body.
     *
     * @param maxBytes maximum size of the body in bytes
     */
    static BodyHandler<byte[]> ofByteArray(long maxBytes) {
        return head -> new Subscriber<>(BodyHandlers.ofByteArray().apply(head), maxBytes);
    }

    private static final class Subscriber<T> implements BodySubscriber<T> {
        private final BodySubscriber<T> receiver;
        private final long maxBytes;
        private long bytes;
        private boolean failed;
        private Flow.@Nullable Subscription subscription;

        Subscriber(BodySubscriber<T> receiver, long maxBytes) {
            this.receiver = receiver;
            this.maxBytes = maxBytes;
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
            for (ByteBuffer buffer : buffers) {
                bytes += buffer.remaining();
            }
            if (bytes <= maxBytes) {
                receiver.onNext(buffers);
                return;
            }
            failed = true;
            if (subscription != null) {
                subscription.cancel();
            }
            receiver.onError(new IOException("body: expected at most " + maxBytes + " bytes"));
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
