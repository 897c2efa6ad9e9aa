package org.auburnhoist.load;

import java.time.Duration;
import org.auburnhoist.emulator.GrayMode;

/** A fault of an experiment, with its time since the start of the load. */
public sealed interface Fault {
    /** When it begins. */
    Duration at();

    /** A server fails partially, while its health endpoint stays good. */
    record Gray(Duration at, Duration until, String server, GrayMode mode) implements Fault {}

    /** A team sends a multiple of its rate. */
    record TeamSurge(Duration at, Duration until, String team, double factor) implements Fault {}

    /** The store refuses connections. */
    record StoreUnavailable(Duration at, Duration until) implements Fault {}

    /** The first hosts are stopped as planned and replaced, one after the other. */
    record RestartHosts(Duration at, int count) implements Fault {}

    /** A host stops at once and is not replaced; hosts are counted from 1. */
    record KillHost(Duration at, int host) implements Fault {}

    /** A key is withdrawn by a change of the configuration. */
    record WithdrawKey(Duration at, String key) implements Fault {}
}
