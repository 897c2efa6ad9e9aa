package org.auburnhoist.load;

import java.time.Duration;
import org.auburnhoist.emulator.GrayMode;

/** A fault of an experiment; times are relative to the start of the load. */
public sealed interface Fault {
    /** Start of the fault. */
    Duration at();

    /** A gray failure: a server fails partially while its health endpoint reports it as healthy. */
    record Gray(Duration at, Duration until, String server, GrayMode mode) implements Fault {}

    /** A team sends a multiple of its rate. */
    record TeamSurge(Duration at, Duration until, String team, double factor) implements Fault {}

    /** The store refuses connections. */
    record StoreUnavailable(Duration at, Duration until) implements Fault {}

    /** A rolling restart: the first hosts are gracefully stopped and replaced, one after the other. */
    record RestartHosts(Duration at, int count) implements Fault {}

    /** A host is stopped without a graceful shutdown and is not replaced; hosts are numbered from 1. */
    record KillHost(Duration at, int host) implements Fault {}

    /** A key is withdrawn by a configuration change. */
    record WithdrawKey(Duration at, String key) implements Fault {}
}
