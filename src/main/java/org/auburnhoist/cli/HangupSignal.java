package org.auburnhoist.cli;

import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/** Runs an action of the process at each SIGHUP, whose default is to end the process. */
final class HangupSignal {
    private static @Nullable Runnable action;
    private static boolean received;

    private HangupSignal() {}

    /** Sets the handler, which remembers a signal that comes before there is an action. */
    static void hold() {
        Signal.handle(new Signal("HUP"), signal -> run());
    }

    /** Sets the action, and runs it if a signal has come before. */
    static void handle(Runnable value) {
        boolean pending;
        synchronized (HangupSignal.class) {
            action = value;
            pending = received;
        }
        if (pending) {
            value.run();
        }
    }

    private static void run() {
        Runnable current;
        synchronized (HangupSignal.class) {
            received = true;
            current = action;
        }
        if (current != null) {
            current.run();
        }
    }
}
