package org.auburnhoist.store;

/** Receives changes of watched keys. */
public interface WatchListener {
    /** A key was written. */
    void changed(Entry entry);

    /** A key was deleted. */
    void deleted(String key);

    /** The watch was interrupted and is established again; the watched keys must be read once more. */
    void resyncRequired();
}
