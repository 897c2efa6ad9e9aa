package org.auburnhoist.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.host.ControlScheduler;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Polls the store for the configuration, servers and members. Confined to the control thread.
 *
 * <p>The coordinator reads on behalf of the other hosts. Any other host reads the store directly only while its cached
 * data is too old. A watch delivers configuration changes early, but a watch without events does not prove that nothing
 * has changed, so the configuration is polled as well.
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
    private final ControlScheduler control;
    private final PlatformBinding binding;
    private final StoreCache cache;
    private final FleetView fleet;
    private final Runnable ownEntryMissing;
    private final String selfName;
    private final RetryDelay retryDelay;
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
    private final UnusableEntries unusableRegistrations = new UnusableEntries("registration-unusable");
    private Consumer<StorePosition> membersReadListener = position -> {};

    StorePoller(
            Store store,
            ControlScheduler control,
            PlatformBinding binding,
            StoreCache cache,
            FleetView fleet,
            String selfName,
            Runnable ownEntryMissing,
            RandomGenerator random,
            long nowNanos) {
        this.store = store;
        this.control = control;
        this.binding = binding;
        this.cache = cache;
        this.fleet = fleet;
        this.selfName = selfName;
        this.ownEntryMissing = ownEntryMissing;
        this.retryDelay = new RetryDelay(random);
        cache.registrationGrace(outage::mayLackRegistrations);
        cache.onStoreRestored(outage::storeRestored);
        this.nextServers = nowNanos;
        this.startupWaitUntil = nowNanos;
        this.nextConfiguration = nowNanos;
        this.nextMembers = nowNanos;
    }

    /** Sets what is called with the store's position after each read of the members. */
    void onMembersRead(Consumer<StorePosition> listener) {
        membersReadListener = listener;
    }

    /** How many states of servers' entries could not be used; may be called from any thread. */
    long unusableRegistrations() {
        return unusableRegistrations.count();
    }

    /** Adopts the members that were read at startup; the coordinator among them sends the rest. */
    void joined(ReadResult.Found found, long nowNanos) {
        membersRead(found, nowNanos, nowNanos);
        startupWaitUntil = nowNanos + STARTUP_WAIT_NANOS;
        cache.awaitPeers();
    }

    /** Starts the reads that are due. Must be called a few times a second. */
    void tick(boolean coordinator, long nowNanos) {
        long age = cache.storeAgeNanos(nowNanos);
        boolean stale = age > StoreCache.MAX_AGE_NANOS || !cache.hasConfiguration();
        if (age != Long.MAX_VALUE) {
            // Another host may have read the store since this one last tried.
            endOutage(nowNanos - age);
        }
        cache.updateServersInUse(nowNanos);
        updateWatch(coordinator);
        if (cache.awaitsPeers() && startupWaitUntil - nowNanos <= 0) {
            cache.peersAsked();
        }
        boolean waitsForCoordinator = startupWaitUntil - nowNanos > 0 && !cache.hasRejectedStaleDigest();
        boolean readsDirectly = !coordinator && stale && !waitsForCoordinator;
        logReadMode(readsDirectly, age);
        if (!coordinator && !readsDirectly) {
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

    /** Logs when direct reads begin and end, since they are most of the store's load during a network partition. */
    private void logReadMode(boolean readsDirectly, long ageNanos) {
        if (readsDirectly && !readingDirectly) {
            Event.named("reads-for-itself")
                    .with("knowledge_age_millis", ageNanos == Long.MAX_VALUE ? -1 : ageNanos / 1_000_000L)
                    .log();
        } else if (!readsDirectly && readingDirectly) {
            Event.named("reads-no-more-for-itself").log();
        }
        readingDirectly = readsDirectly;
    }

    /** Closes the watch. */
    void close() {
        updateWatch(false);
    }

    private void updateWatch(boolean wanted) {
        AutoCloseable currentWatch = watch;
        if (wanted && currentWatch == null) {
            watch = store.watch(binding.configurationKey(), new ConfigurationWatch());
        } else if (!wanted && currentWatch != null) {
            watch = null;
            try {
                currentWatch.close();
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
                        cache.serversRead(registrations(found), found.position(), startedNanos, now, "store");
                    } else {
                        nextServers = readFailed("servers", result, now);
                    }
                }));
    }

    private ServerRegistrations registrations(ReadResult.Found found) {
        List<UpstreamServer> servers = new ArrayList<>();
        List<String> unusableIds = new ArrayList<>();
        unusableRegistrations.retain(found.entries());
        for (Entry entry : found.entries()) {
            try {
                servers.add(binding.decodeServer(entry));
            } catch (IOException cause) {
                unusableRegistrations.report(entry, cause);
                unusableIds.add(entry.key().substring(binding.serversPrefix().length()));
            }
        }
        return new ServerRegistrations(servers, unusableIds);
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
                        membersRead(found, startedNanos, now);
                    } else {
                        nextMembers = readFailed("members", result, now);
                    }
                }));
    }

    private void membersRead(ReadResult.Found found, long readNanos, long nowNanos) {
        List<FleetMember> members = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Entry entry : found.entries()) {
            if (!entry.key().startsWith(GatewayKeys.MEMBERS)) {
                continue;
            }
            try {
                FleetMember member = FleetCodec.member(entry.value());
                if (!cache.isHeldBack(member.id(), nowNanos)) {
                    members.add(member);
                    names.add(member.id().name());
                }
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
        // A lease may expire during a store outage although its host is healthy; the host registers again.
        for (FleetMember known : fleet.members()) {
            if (!names.contains(known.id().name())
                    && !known.leaving()
                    && fleet.isAlive(known.id().name(), nowNanos)) {
                members.add(known);
            }
        }
        cache.membersRead(members, found.position(), "store", readNanos, nowNanos);
        membersReadListener.accept(found.position());
    }

    private void readSucceeded(long startedNanos) {
        retryDelay.reset();
        endOutage(startedNanos);
    }

    private void endOutage(long startedNanos) {
        long outageNanos = outage.readSucceeded(startedNanos);
        if (outageNanos >= 0) {
            Event.named("store-regained")
                    .with("after_millis", outageNanos / 1_000_000L)
                    .log();
        }
    }

    private long readFailed(String target, ReadResult result, long nowNanos) {
        cache.directReadFailed();
        long age = cache.storeAgeNanos(nowNanos);
        if (outage.readFailed(age == Long.MAX_VALUE ? nowNanos : nowNanos - age, nowNanos)) {
            Event.named("store-lost")
                    .with("read", target)
                    .with("result", result)
                    .warn();
        }
        return nowNanos + retryDelay.nextNanos();
    }

    /** Passes configuration changes to the control thread. */
    private final class ConfigurationWatch implements WatchListener {
        @Override
        public void changed(Entry entry) {
            if (entry.key().equals(binding.configurationKey())) {
                control.execute(now -> cache.configurationRead(entry.value(), "watch"));
            }
        }

        @Override
        public void deleted(String key) {
            // The configuration in force stays active until a newer one is written.
        }

        @Override
        public void resyncRequired() {
            control.execute(now -> nextConfiguration = now);
        }
    }
}
