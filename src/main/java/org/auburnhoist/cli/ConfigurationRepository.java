package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.configuration.ConfigurationChunks;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationHead;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WriteResult;

/** Reads and replaces the configuration in the platform's store. */
final class ConfigurationRepository {
    /** Maximum number of chunk reads that wait for their answers at the same time. */
    private static final int MAX_PARALLEL_READS = 16;

    /**
     * Maximum number of attempts to write the head. A write without an answer can safely be sent again, because it is
     * conditional on the revision.
     */
    private static final int MAX_HEAD_ATTEMPTS = 3;

    /**
     * Maximum number of attempts to write a chunk. Each concurrent writer of the same chunk causes at most one conflict
     * between two attempts.
     */
    private static final int MAX_CHUNK_ATTEMPTS = 6;

    private static final String NOTHING_CHANGED = "; nothing was changed";

    private final Store store;
    private final Duration timeout;

    /**
     * Creates a repository.
     *
     * @param store the store, which the repository does not close
     * @param timeout maximum wait for each answer
     */
    ConfigurationRepository(Store store, Duration timeout) {
        this.store = store;
        this.timeout = timeout;
    }

    /** Reads the newest head. */
    Either<Failure, StoredHead> readHead() {
        ReadResult result = await(store.get(StoreKeys.CONFIGURATION), new ReadResult.Unavailable("no answer in time"));
        if (result instanceof ReadResult.Unavailable unavailable) {
            return Either.left(new Failure(ExitCode.UNAVAILABLE, "store unavailable: " + unavailable.reason()));
        }
        ReadResult.Found found = (ReadResult.Found) result;
        if (found.entries().isEmpty()) {
            return Either.right(new StoredHead(ConfigurationHead.NONE, StorePosition.NONE));
        }
        StorePosition position = found.entries().get(0).position();
        return ConfigurationHead.parse(found.entries().get(0).value())
                .map(head -> new StoredHead(head, position))
                .mapLeft(reason -> new Failure(ExitCode.REFUSED, StoreKeys.CONFIGURATION + ": " + reason));
    }

    /** Reads a whole file and verifies its chunks. */
    Either<Failure, ConfigurationFile> readFile(ConfigurationHead.FileEntry entry) {
        Map<String, byte[]> chunks = new HashMap<>();
        List<String> digests = entry.chunks();
        for (int start = 0; start < digests.size(); start += MAX_PARALLEL_READS) {
            int end = Math.min(start + MAX_PARALLEL_READS, digests.size());
            Either<Failure, Map<String, byte[]>> read = readChunks(digests.subList(start, end));
            if (read.isLeft()) {
                return Either.left(read.getLeft());
            }
            chunks.putAll(read.get());
        }
        return ConfigurationChunks.join(digests, chunks::get)
                .map(content -> new ConfigurationFile(entry.name(), content))
                .mapLeft(damage -> new Failure(
                        ExitCode.UNAVAILABLE, entry.name() + ": chunk " + damage.digest() + ": " + damage.problem()));
    }

    private Either<Failure, Map<String, byte[]>> readChunks(List<String> digests) {
        List<CompletableFuture<ReadResult>> answers = new ArrayList<>();
        digests.forEach(digest -> answers.add(store.get(StoreKeys.CHUNK_PREFIX + digest)));
        Map<String, byte[]> chunks = new HashMap<>();
        for (int index = 0; index < answers.size(); index++) {
            ReadResult result = await(answers.get(index), new ReadResult.Unavailable("no answer in time"));
            if (result instanceof ReadResult.Unavailable unavailable) {
                return Either.left(new Failure(ExitCode.UNAVAILABLE, "store unavailable: " + unavailable.reason()));
            }
            String digest = digests.get(index);
            ((ReadResult.Found) result).entries().forEach(entry -> chunks.put(digest, entry.value()));
        }
        return Either.right(chunks);
    }

    /**
     * Writes the chunks that the current head does not reference, then writes the head if its revision is still the
     * expected one, and deletes the chunks that the new head no longer references.
     *
     * @param before the head that the change is based on
     * @param next the new head
     * @param chunks all chunks of the replaced files
     * @return the new version
     */
    Either<Failure, Long> replace(StoredHead before, ConfigurationHead next, List<ConfigurationChunks.Chunk> chunks) {
        byte[] content = next.toBytes();
        if (content.length > Store.MAX_VALUE_BYTES) {
            String message = "configuration: expected a head of at most " + Store.MAX_VALUE_BYTES + " bytes, found "
                    + content.length;
            return Either.left(new Failure(ExitCode.REFUSED, message));
        }
        Set<String> known = before.head().chunks();
        for (ConfigurationChunks.Chunk chunk : chunks) {
            if (known.add(chunk.digest()) && !writeChunk(chunk)) {
                String message = "store unavailable: chunk " + chunk.digest() + " was not written" + NOTHING_CHANGED;
                return Either.left(new Failure(ExitCode.UNAVAILABLE, message));
            }
        }
        List<Entry> unreferenced = unreferencedChunks(before.head(), next);
        return writeHead(before, next, content).peek(version -> deleteChunks(unreferenced));
    }

    /**
     * Writes a chunk, even if the store already has it: the new revision prevents an earlier change that stopped
     * referencing the chunk from deleting it.
     */
    private boolean writeChunk(ConfigurationChunks.Chunk chunk) {
        StorePosition expected = StorePosition.NONE;
        for (int attempt = 0; attempt < MAX_CHUNK_ATTEMPTS; attempt++) {
            WriteResult result = write(StoreKeys.CHUNK_PREFIX + chunk.digest(), expected, chunk.content());
            if (result instanceof WriteResult.Done) {
                return true;
            }
            if (result instanceof WriteResult.Conflict conflict) {
                expected = conflict.currentPosition();
            }
        }
        return false;
    }

    /**
     * Finds the chunks that only the older head references, with their positions. Stops at the first chunk that cannot
     * be read and leaves out the rest.
     */
    private List<Entry> unreferencedChunks(ConfigurationHead before, ConfigurationHead next) {
        Set<String> unreferenced = before.chunks();
        unreferenced.removeAll(next.chunks());
        List<Entry> entries = new ArrayList<>();
        for (String digest : unreferenced) {
            ReadResult result =
                    await(store.get(StoreKeys.CHUNK_PREFIX + digest), new ReadResult.Unavailable("no answer in time"));
            if (!(result instanceof ReadResult.Found found)) {
                return entries;
            }
            found.entries().forEach(entry -> entries.add(new Entry(entry.key(), new byte[0], entry.position())));
        }
        return entries;
    }

    /**
     * Deletes chunks that the head no longer references. A failure leaves unused chunks in the store, which does no
     * harm.
     *
     * @param unreferenced chunks with the positions that they had before the new head was written. A later change that
     *     references such a chunk again has read the new head, so it has written the chunk again with another revision
     *     and the conditional deletion has no effect.
     */
    private void deleteChunks(List<Entry> unreferenced) {
        for (Entry entry : unreferenced) {
            WriteResult result = await(
                    store.compareAndDelete(entry.key(), entry.position()),
                    new WriteResult.OutcomeUnknown("no answer in time"));
            if (result instanceof WriteResult.NotDone) {
                return;
            }
        }
    }

    /**
     * Writes the head. If the answer is lost, the head is read; if it is unchanged, the same conditional write is sent
     * again, because the first one may still be in progress.
     */
    private Either<Failure, Long> writeHead(StoredHead before, ConfigurationHead next, byte[] content) {
        boolean mayHaveRun = false;
        String reason = "";
        for (int attempt = 0; attempt < MAX_HEAD_ATTEMPTS; attempt++) {
            WriteResult result = write(StoreKeys.CONFIGURATION, before.position(), content);
            if (result instanceof WriteResult.Done) {
                return Either.right(next.version());
            }
            if (result instanceof WriteResult.NotDone notDone) {
                reason = notDone.reason();
                continue;
            }
            if (result instanceof WriteResult.OutcomeUnknown unknown) {
                mayHaveRun = true;
                reason = unknown.reason();
            }
            Either<Failure, StoredHead> current = readHead();
            if (current.isRight() && !current.get().position().equals(before.position())) {
                return resolveNewerHead(next, current.get().head(), mayHaveRun);
            }
            if (result instanceof WriteResult.Conflict) {
                return Either.left(unresolvedFailure(before, mayHaveRun));
            }
        }
        return Either.left(
                mayHaveRun
                        ? outcomeUnknown(next, reason)
                        : new Failure(ExitCode.UNAVAILABLE, "store unavailable: " + reason + NOTHING_CHANGED));
    }

    /** Decides the outcome once the head has another revision: the write has taken effect or never will. */
    private static Either<Failure, Long> resolveNewerHead(
            ConfigurationHead own, ConfigurationHead current, boolean mayHaveRun) {
        String id = own.history().get(0).id();
        if (current.hasChange(id)) {
            return Either.right(own.version());
        }
        boolean beyondHistory = current.version() - own.version() >= ConfigurationHead.MAX_HISTORY;
        return Either.left(
                beyondHistory && mayHaveRun
                        ? outcomeUnknown(own, "the change history no longer covers it")
                        : conflictFailure(own.version() - 1, current));
    }

    private static Failure unresolvedFailure(StoredHead before, boolean mayHaveRun) {
        String expected =
                "another change was applied to version " + before.head().version();
        return mayHaveRun
                ? new Failure(ExitCode.OUTCOME_UNKNOWN, "outcome unknown: this or " + expected)
                : new Failure(ExitCode.REFUSED, "conflict: " + expected + NOTHING_CHANGED);
    }

    private static Failure outcomeUnknown(ConfigurationHead next, String reason) {
        String message = "outcome unknown: version " + next.version() + " may or may not be in force (" + reason
                + "); run show to check before you apply again";
        return new Failure(ExitCode.OUTCOME_UNKNOWN, message);
    }

    /** A conflict that describes the newest change. */
    static Failure conflictFailure(long expected, ConfigurationHead current) {
        StringBuilder message =
                new StringBuilder("conflict: expected version " + expected + ", found " + current.version());
        current.history().stream()
                .limit(1)
                .forEach(change -> message.append(
                        " (" + change.summary() + ", by " + change.appliedBy() + " at " + change.appliedAt() + ")"));
        return new Failure(ExitCode.REFUSED, message.append(NOTHING_CHANGED).toString());
    }

    private WriteResult write(String key, StorePosition expected, byte[] value) {
        return await(store.compareAndSwap(key, expected, value), new WriteResult.OutcomeUnknown("no answer in time"));
    }

    private <T> T await(CompletableFuture<T> answer, T fallback) {
        try {
            return answer.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return fallback;
        } catch (TimeoutException | ExecutionException failed) {
            return fallback;
        }
    }
}
