package org.auburnhoist.store;

/** Receives changes of watched keys. */
public interface WatchListener {
    /** A key was written. */
    void changed(Entry entry);

    /** A key was deleted. */
    void deleted(String key);

    /** Changes may have been missed, for example after a lost connection; the watched keys must be read again. */
    void resyncRequired();
}
