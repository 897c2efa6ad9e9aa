package org.auburnhoist.host;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.configuration.ConfigurationHead;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterCodec;
import org.auburnhoist.core.membership.RosterProposer;
import org.auburnhoist.core.membership.StoreReaderSelector;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Reads the configuration and the roster from the store when this host is selected as a reader, and writes roster
 * changes: joining, removing dead members, recording settled versions, leaving.
 */
final class StoreController {
    private static final int MAX_JOIN_DELAY_MILLIS = 200;

    private final Blackboard board;
    private final Store store;
    private final ControlThread control;
    private final DocumentController documents;
    private final StoreReaderSelector readerSelector;
    private final RosterProposer rosterProposer;
    private final Member self;
    private final RandomGenerator random;
    private boolean reading;
    private boolean writing;

    StoreController(
            Blackboard board,
            Store store,
            ControlThread control,
            DocumentController documents,
            Member self,
            RandomGenerator random) {
        this.board = board;
        this.store = store;
        this.control = control;
        this.documents = documents;
        this.readerSelector = new StoreReaderSelector(board.settings());
        this.rosterProposer = new RosterProposer(board.settings());
        this.self = self;
        this.random = random;
    }

    /**
     * Reads the store if this host is a reader, has not joined, or has become stale; then writes a roster change if one
     * is due.
     */
    void run(long nowNanos) {
        FreshnessTable table = board.freshness();
        boolean needed = table == null
                || !board.isMember()
                || !table.isFresh(nowNanos)
                || readerSelector.isReader(table, nowNanos);
        if (needed && !board.isRemoved()) {
            read();
        }
        if (table != null) {
            rosterProposer
                    .propose(table, nowNanos)
                    .ifPresent(proposal -> changeRoster(
                            "steward",
                            current -> current.version() == proposal.expectedVersion() ? proposal.next() : null));
        }
    }

    /** Marks this host as leaving in the roster; completes with whether the store holds the change. */
    CompletableFuture<Boolean> markLeaving() {
        return changeRoster(
                "leaving", current -> current.member(self.id()).isPresent() ? current.markLeaving(self.id()) : null);
    }

    /**
     * Removes this host from the roster if the other members still form a quorum; completes with whether the store
     * holds the change.
     */
    CompletableFuture<Boolean> leave() {
        return changeRoster("left", current -> withoutSelf(current, self.id()));
    }

    /**
     * Returns the roster without a host that leaves, or null if the host must not remove itself: without a quorum of
     * the others, no later version could be settled.
     */
    static @Nullable Roster withoutSelf(Roster current, HostId self) {
        boolean isMember = current.member(self).isPresent();
        return isMember && current.canRemove(Set.of(self)) ? current.remove(Set.of(self)) : null;
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        long sentAt = System.nanoTime();
        Roster known = board.roster();
        long knownRoster = known == null ? 0 : known.version();
        long knownConfiguration = board.activeConfiguration().version();
        store.range(StoreKeys.CURRENT_PREFIX)
                .thenAccept(result -> control.execute(now -> {
                    reading = false;
                    if (result instanceof ReadResult.Found found) {
                        handleRead(found, sentAt, knownRoster, knownConfiguration);
                    }
                }));
    }

    private void handleRead(ReadResult.Found found, long sentAtNanos, long knownRoster, long knownConfiguration) {
        Entry head = findEntry(found, StoreKeys.CONFIGURATION);
        Entry roster = findEntry(found, StoreKeys.ROSTER);
        documents.offer(
                head == null ? new byte[0] : head.value(),
                roster == null ? new byte[0] : roster.value(),
                this::fetchChunk,
                now -> confirmRead(head, roster, sentAtNanos, knownRoster, knownConfiguration));
    }

    private void confirmRead(
            @Nullable Entry head, @Nullable Entry roster, long sentAtNanos, long knownRoster, long knownConfiguration) {
        FreshnessTable table = board.freshness();
        long headVersion = head == null
                ? 0
                : ConfigurationHead.parse(head.value())
                        .map(ConfigurationHead::version)
                        .getOrElse(Long.MAX_VALUE);
        long rosterVersion = roster == null
                ? 0
                : RosterCodec.decode(roster.value()).map(Roster::version).getOrElse(Long.MAX_VALUE);
        if (rosterVersion < knownRoster || headVersion < knownConfiguration) {
            // A store that was restored from an old backup, or is a different one, confirms nothing.
            Event.named("store-older-than-host")
                    .with("roster", rosterVersion)
                    .with("known_roster", knownRoster)
                    .with("configuration", headVersion)
                    .with("known_configuration", knownConfiguration)
                    .warn();
            return;
        }
        if (table != null) {
            table.recordStoreRead(sentAtNanos, rosterVersion, headVersion);
        }
        if (!board.isMember() && !board.isRemoved() && !board.isStopping()) {
            join(roster == null);
        }
    }

    private void join(boolean firstOfFleet) {
        if (firstOfFleet) {
            writeRoster(
                    "joined",
                    StorePosition.NONE,
                    Roster.bootstrap(self, Roster.DEFAULT_SHARD_COUNT),
                    new CompletableFuture<>());
        } else {
            changeRoster("joined", current -> current.join(self));
        }
    }

    /**
     * Reads the roster, computes its next version, and writes that one if no other host has changed the roster
     * meanwhile.
     */
    private CompletableFuture<Boolean> changeRoster(String reason, Function<Roster, @Nullable Roster> successor) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (writing) {
            done.complete(false);
            return done;
        }
        writing = true;
        store.get(StoreKeys.ROSTER)
                .thenAccept(result -> control.execute(now -> {
                    Entry entry = result instanceof ReadResult.Found found ? findEntry(found, StoreKeys.ROSTER) : null;
                    Optional<Roster> current = entry == null
                            ? Optional.empty()
                            : RosterCodec.decode(entry.value()).toJavaOptional();
                    Roster next = current.map(successor).orElse(null);
                    if (entry == null || next == null) {
                        writing = false;
                        done.complete(false);
                        return;
                    }
                    writeRoster(reason, entry.position(), next, done);
                }));
        return done;
    }

    private void writeRoster(String reason, StorePosition expected, Roster next, CompletableFuture<Boolean> done) {
        writing = true;
        byte[] encoded = RosterCodec.encode(next);
        store.compareAndSwap(StoreKeys.ROSTER, expected, encoded)
                .thenAccept(result -> control.execute(now -> {
                    writing = false;
                    Event.named("roster-write")
                            .with("reason", reason)
                            .with("version", next.version())
                            .with("result", result.getClass().getSimpleName())
                            .log();
                    if (result instanceof WriteResult.Done) {
                        documents.offer(new byte[0], encoded, this::fetchChunk, later -> done.complete(true));
                    } else {
                        done.complete(false);
                        retryJoin();
                    }
                }));
    }

    /**
     * Hosts that start at the same time compete to write the roster; a random delay (jitter) spreads their next
     * attempts.
     */
    private void retryJoin() {
        if (!board.isMember()) {
            control.schedule(Duration.ofMillis(random.nextInt(MAX_JOIN_DELAY_MILLIS)), now -> read());
        }
    }

    private CompletableFuture<byte @Nullable []> fetchChunk(String digest) {
        return store.get(StoreKeys.CHUNK_PREFIX + digest).thenApply(result -> {
            boolean found =
                    result instanceof ReadResult.Found read && !read.entries().isEmpty();
            return found ? ((ReadResult.Found) result).entries().get(0).value() : null;
        });
    }

    private static @Nullable Entry findEntry(ReadResult.Found found, String key) {
        return found.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .findFirst()
                .orElse(null);
    }
}
