package org.auburnhoist.support;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them in reverse order of registration.
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
     * Adds a resource.
     *
     * @param resource closed by {@link #close()}
     * @return the resource
     * @throws IllegalStateException if this closer is closed already
     */
    public synchronized <T extends AutoCloseable> T register(T resource) {
        if (closed) {
            throw new IllegalStateException("resource: expected registration before close, got " + resource);
        }
        resources.push(resource);
        return resource;
    }

    /**
     * Closes every resource, also when some of them fail.
     *
     * @throws IllegalStateException if a resource failed to close; later failures are suppressed exceptions of it
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
