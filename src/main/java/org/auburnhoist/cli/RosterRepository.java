package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterCodec;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WriteResult;

/** Reads and changes the roster in the platform's store for operators. */
final class RosterRepository {
    private static final int MAX_ATTEMPTS = 5;

    private final Store store;
    private final Duration timeout;

    RosterRepository(Store store, Duration timeout) {
        this.store = store;
        this.timeout = timeout;
    }

    /** The newest roster; a failure if no host has joined yet. */
    Either<Failure, Roster> read() {
        return readEntry().flatMap(RosterRepository::decode);
    }

    /** The newest roster, empty if no host has joined yet. */
    Either<Failure, Optional<Roster>> find() {
        return findEntry()
                .flatMap(found -> found.isEmpty()
                        ? Either.right(Optional.empty())
                        : decode(found.get()).map(Optional::of));
    }

    /**
     * Replaces the roster by one computed from the newest one. A concurrent change is a conflict, because an
     * operator's decision about one roster must not be applied to another.
     */
    Either<Failure, Roster> replace(Function<Roster, Either<Failure, Roster>> change) {
        return readEntry().flatMap(entry -> decode(entry).flatMap(change).flatMap(next -> replace(entry, next)));
    }

    private Either<Failure, Roster> replace(Entry entry, Roster next) {
        WriteResult result = write(entry.position(), next);
        if (result instanceof WriteResult.Done) {
            return Either.right(next);
        }
        if (result instanceof WriteResult.OutcomeUnknown unknown) {
            return Either.left(outcomeUnknown(unknown));
        }
        return Either.left(
                result instanceof WriteResult.NotDone notDone
                        ? new Failure(ExitCode.UNAVAILABLE, "store unavailable: " + notDone.reason())
                        : new Failure(
                                ExitCode.REFUSED,
                                "conflict: the roster was changed in the meantime; nothing was changed"));
    }

    private static Failure outcomeUnknown(WriteResult.OutcomeUnknown unknown) {
        return new Failure(ExitCode.OUTCOME_UNKNOWN, "outcome unknown (" + unknown.reason() + "); run status to check");
    }

    /**
     * Changes the roster. After a conflict with a change by a host, reads the roster again and retries.
     *
     * @param change computes the next roster from the newest one
     */
    Either<Failure, Roster> updateWithRetry(UnaryOperator<Roster> change) {
        Failure last = new Failure(ExitCode.UNAVAILABLE, "roster: too many conflicts; nothing was changed");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Either<Failure, Entry> entry = readEntry();
            Either<Failure, Roster> current = entry.flatMap(RosterRepository::decode);
            if (current.isLeft()) {
                return current;
            }
            Roster next = change.apply(current.get());
            WriteResult result = write(entry.get().position(), next);
            if (result instanceof WriteResult.Done) {
                return Either.right(next);
            }
            if (result instanceof WriteResult.OutcomeUnknown unknown) {
                return Either.left(outcomeUnknown(unknown));
            }
            if (result instanceof WriteResult.NotDone notDone) {
                last = new Failure(ExitCode.UNAVAILABLE, "store unavailable: " + notDone.reason());
            }
        }
        return Either.left(last);
    }

    private Either<Failure, Entry> readEntry() {
        return findEntry()
                .flatMap(found -> found.isEmpty()
                        ? Either.left(new Failure(ExitCode.REFUSED, "roster: no host has joined yet"))
                        : Either.right(found.get()));
    }

    private Either<Failure, Optional<Entry>> findEntry() {
        try {
            ReadResult result = store.get(StoreKeys.ROSTER).get(timeout.toMillis(), TimeUnit.MILLISECONDS);
            if (result instanceof ReadResult.Found found) {
                return Either.right(found.entries().stream().findFirst());
            }
            return Either.left(new Failure(
                    ExitCode.UNAVAILABLE, "store unavailable: " + ((ReadResult.Unavailable) result).reason()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Either.left(new Failure(ExitCode.UNAVAILABLE, "interrupted"));
        } catch (TimeoutException | ExecutionException failed) {
            return Either.left(new Failure(ExitCode.UNAVAILABLE, "store unavailable: no answer in time"));
        }
    }

    private WriteResult write(StorePosition expected, Roster next) {
        try {
            return store.compareAndSwap(StoreKeys.ROSTER, expected, RosterCodec.encode(next))
                    .get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new WriteResult.OutcomeUnknown("interrupted");
        } catch (TimeoutException | ExecutionException failed) {
            return new WriteResult.OutcomeUnknown("no answer in time");
        }
    }

    private static Either<Failure, Roster> decode(Entry entry) {
        return RosterCodec.decode(entry.value())
                .mapLeft(problem -> new Failure(ExitCode.REFUSED, StoreKeys.ROSTER + ": " + problem));
    }
}
