package org.auburnhoist.support;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order of registration.
 *
 * <pre>{@code
 * Closer closer = new Closer();
 * Store store = closer.register(EtcdStore.connect(address));
 * ...
 * closer.close();
 * }</pre>
 */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    /**
     * Registers a resource.
     *
     * @param resource resource that {@link #close()} closes
     * @return the resource
     * @throws IllegalStateException if this closer is already closed
     */
    public synchronized <T extends AutoCloseable> T register(T resource) {
        if (closed) {
            throw new IllegalStateException("cannot register a resource after close: " + resource);
        }
        resources.push(resource);
        return resource;
    }

    /**
     * Closes all resources, even if some of them fail to close.
     *
     * @throws IllegalStateException if a resource failed to close; further failures are added as suppressed exceptions
     */
    @Override
    public synchronized void close() {
        closed = true;
        IllegalStateException failure = null;
        while (!resources.isEmpty()) {
            AutoCloseable resource = resources.pop();
            try {
                resource.close();
            } catch (Exception cause) {
                if (failure == null) {
                    failure = new IllegalStateException("could not close " + resource, cause);
                } else {
                    failure.addSuppressed(cause);
                }
            }
        }
        if (failure != null) {
            throw failure;
        }
    }
}
