package org.auburnhoist.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Reads configuration, servers and members from the store. Belongs to the control thread.
 *
 * <p>A coordinator reads for the others. Any other host reads for itself only while what it has is too old. A watch
 * brings changes of the configuration early, but a silent watch proves nothing, so the configuration is read as well.
 */
final class StorePoller {
    /** Two reads and a report fit into the two seconds within which a leaving server must get no more work. */
    private static final long SERVERS_INTERVAL_NANOS = Duration.ofMillis(600).toNanos();

    private static final long CONFIGURATION_INTERVAL_NANOS =
            Duration.ofSeconds(1).toNanos();
    private static final long MEMBERS_INTERVAL_NANOS = Duration.ofMillis(1_500).toNanos();
    /** A coordinator answers a new host's first report within this time. */
    private static final long STARTUP_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

    private final Store store;
    private final ControlThread control;
    private final PlatformBinding binding;
    private final StoreCache cache;
    private final FleetView fleet;
    private final Runnable ownEntryMissing;
    private final String selfName;
    private final RetryDelay delay;
    private long nextServers;
    private long nextConfiguration;
    private long nextMembers;
    private long startupWaitUntil;
    private boolean readingServers;
    private boolean readingConfiguration;
    private boolean readingMembers;
    private boolean readingDirectly;
    private @Nullable AutoCloseable watch;
    private final StoreOutage outage = new StoreOutage();

    StorePoller(
            Store store,
            ControlThread control,
            PlatformBinding binding,
            StoreCache knowledge,
            FleetView fleet,
            String selfName,
            Runnable ownEntryMissing,
            RandomGenerator random,
            long nowNanos) {
        this.store = store;
        this.control = control;
        this.binding = binding;
        this.cache = knowledge;
        this.fleet = fleet;
        this.selfName = selfName;
        this.ownEntryMissing = ownEntryMissing;
        this.delay = new RetryDelay(random);
        this.nextServers = nowNanos;
        this.startupWaitUntil = nowNanos;
        this.nextConfiguration = nowNanos;
        this.nextMembers = nowNanos;
    }

    /** Takes over the members that were read at the start; the coordinator among them tells the rest. */
    void joined(ReadResult.Found found, long nowNanos) {
        membersRead(found, nowNanos);
        startupWaitUntil = nowNanos + STARTUP_WAIT_NANOS;
    }

    /** Reads what is due; to be called a few times a second. */
    void tick(boolean coordinator, long nowNanos) {
        long age = cache.storeAgeNanos(nowNanos);
        boolean tooOld = age > StoreCache.MAX_AGE_NANOS || !cache.hasConfiguration();
        if (age != Long.MAX_VALUE) {
            // Another host may have read the store since this one last tried.
            endOutage(nowNanos - age);
        }
        updateWatch(coordinator);
        boolean waits = startupWaitUntil - nowNanos > 0 && !cache.hasRejectedStaleDigest();
        boolean readsForItself = !coordinator && tooOld && !waits;
        logReadMode(readsForItself, age);
        if (!coordinator && !readsForItself) {
            return;
        }
        if (nextServers - nowNanos <= 0 && !readingServers) {
            readServers(nowNanos);
        }
        if (nextConfiguration - nowNanos <= 0 && !readingConfiguration) {
            readConfiguration(nowNanos);
        }
        if (nextMembers - nowNanos <= 0 && !readingMembers) {
            readMembers(nowNanos);
        }
    }

    /** The calls of hosts that read for themselves are most of the store's load in a cut, so the log tells of them. */
    private void logReadMode(boolean readsForItself, long ageNanos) {
        if (readsForItself && !readingDirectly) {
            Event.named("reads-for-itself")
                    .with("knowledge_age_millis", ageNanos == Long.MAX_VALUE ? -1 : ageNanos / 1_000_000L)
                    .log();
        } else if (!readsForItself && readingDirectly) {
            Event.named("reads-no-more-for-itself").log();
        }
        readingDirectly = readsForItself;
    }

    /** Ends the watch. */
    void close() {
        updateWatch(false);
    }

    private void updateWatch(boolean wanted) {
        AutoCloseable present = watch;
        if (wanted && present == null) {
            watch = store.watch(binding.configurationKey(), new ConfigurationWatch());
        } else if (!wanted && present != null) {
            watch = null;
            try {
                present.close();
            } catch (Exception cause) {
                Event.named("watch-not-closed").with("cause", cause).warn();
            }
        }
    }

    private void readServers(long startedNanos) {
        readingServers = true;
        store.range(binding.serversPrefix())
                .thenAccept(result -> control.execute(now -> {
                    readingServers = false;
                    if (result instanceof ReadResult.Found found) {
                        readSucceeded(startedNanos);
                        nextServers = startedNanos + SERVERS_INTERVAL_NANOS;
                        List<UpstreamServer> servers = new ArrayList<>();
                        found.entries().forEach(entry -> {
                            UpstreamServer server = binding.decodeServer(entry);
                            if (server != null) {
                                servers.add(server);
                            }
                        });
                        List<UpstreamServer> due = withExpiredRegistrations(servers, now);
                        boolean complete = due.size() == servers.size();
                        cache.serversRead(due, complete, found.revision(), startedNanos, "store");
                    } else {
                        nextServers = readFailed("servers", result, now);
                    }
                }));
    }

    /** Registrations may have lapsed while the store was away; their servers have a moment to come back. */
    private List<UpstreamServer> withExpiredRegistrations(List<UpstreamServer> read, long nowNanos) {
        if (!outage.mayLackRegistrations(nowNanos)) {
            return read;
        }
        Set<String> present = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (UpstreamServer server : read) {
            present.add(server.id());
            addresses.add(server.address());
        }
        List<UpstreamServer> result = new ArrayList<>(read);
        for (UpstreamServer known : cache.servers()) {
            if (!present.contains(known.id()) && !addresses.contains(known.address()) && !known.leaving()) {
                result.add(known);
            }
        }
        return result;
    }

    private void readConfiguration(long startedNanos) {
        readingConfiguration = true;
        store.get(binding.configurationKey())
                .thenAccept(result -> control.execute(now -> {
                    readingConfiguration = false;
                    if (result instanceof ReadResult.Found found) {
                        readSucceeded(startedNanos);
                        nextConfiguration = startedNanos + CONFIGURATION_INTERVAL_NANOS;
                        found.entries().forEach(entry -> cache.configurationRead(entry.value(), "store"));
                    } else {
                        nextConfiguration = readFailed("configuration", result, now);
                    }
                }));
    }

    private void readMembers(long startedNanos) {
        readingMembers = true;
        store.range(GatewayKeys.MEMBERS)
                .thenAccept(result -> control.execute(now -> {
                    readingMembers = false;
                    if (result instanceof ReadResult.Found found) {
                        readSucceeded(startedNanos);
                        nextMembers = startedNanos + MEMBERS_INTERVAL_NANOS;
                        membersRead(found, now);
                    } else {
                        nextMembers = readFailed("members", result, now);
                    }
                }));
    }

    private void membersRead(ReadResult.Found found, long nowNanos) {
        List<FleetMember> members = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Entry entry : found.entries()) {
            if (!entry.key().startsWith(GatewayKeys.MEMBERS)) {
                continue;
            }
            try {
                FleetMember member = FleetCodec.member(entry.value());
                members.add(member);
                names.add(member.id().name());
            } catch (IOException cause) {
                Event.named("member-unreadable")
                        .with("key", entry.key())
                        .with("cause", cause)
                        .warn();
            }
        }
        if (!names.contains(selfName)) {
            ownEntryMissing.run();
        }
        // A lease may lapse during an outage of the store although its host is well; the host registers again.
        for (FleetMember known : fleet.members()) {
            if (!names.contains(known.id().name())
                    && !known.leaving()
                    && fleet.isAlive(known.id().name(), nowNanos)) {
                members.add(known);
            }
        }
        cache.membersRead(members, found.revision(), "store", nowNanos);
    }

    private void readSucceeded(long startedNanos) {
        delay.reset();
        endOutage(startedNanos);
    }

    private void endOutage(long startedNanos) {
        long lasted = outage.readSucceeded(startedNanos);
        if (lasted >= 0) {
            Event.named("store-regained")
                    .with("after_millis", lasted / 1_000_000L)
                    .log();
        }
    }

    private long readFailed(String what, ReadResult result, long nowNanos) {
        cache.directReadFailed();
        if (outage.readFailed(nowNanos)) {
            Event.named("store-lost").with("read", what).with("result", result).warn();
        }
        return nowNanos + delay.nextNanos();
    }

    /** Hands changes to the control thread. */
    private final class ConfigurationWatch implements WatchListener {
        @Override
        public void changed(Entry entry) {
            if (entry.key().equals(binding.configurationKey())) {
                control.execute(now -> cache.configurationRead(entry.value(), "watch"));
            }
        }

        @Override
        public void deleted(String key) {
            // A configuration in force stays so until there is a newer one.
        }

        @Override
        public void interrupted() {
            control.execute(now -> nextConfiguration = now);
        }
    }
}
