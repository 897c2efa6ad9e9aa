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
    /** Reads of chunks that wait for their answers at the same time. */
    private static final int PARALLEL_READS = 16;

    /** How often a write without an answer is sent again; the comparison makes the repetition harmless. */
    private static final int ATTEMPTS = 3;

    /** Each writer of the same chunk causes at most one conflict between two attempts. */
    private static final int CHUNK_ATTEMPTS = 6;

    private static final String NOTHING_CHANGED = "; nothing was changed";

    private final Store store;
    private final Duration timeout;

    /**
     * A repository.
     *
     * @param store the store, which stays open
     * @param timeout longest wait for each answer
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
            return Either.right(new StoredHead(ConfigurationHead.NONE, 0));
        }
        long revision = found.entries().get(0).revision();
        return ConfigurationHead.parse(found.entries().get(0).value())
                .map(head -> new StoredHead(head, revision))
                .mapLeft(reason -> new Failure(ExitCode.REFUSED, StoreKeys.CONFIGURATION + ": " + reason));
    }

    /** Reads a whole file and verifies its chunks. */
    Either<Failure, ConfigurationFile> readFile(ConfigurationHead.FileEntry entry) {
        Map<String, byte[]> chunks = new HashMap<>();
        List<String> digests = entry.chunks();
        for (int start = 0; start < digests.size(); start += PARALLEL_READS) {
            int end = Math.min(start + PARALLEL_READS, digests.size());
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
     * Writes the chunks that the present head does not name, then the head if it is still the expected one, and deletes
     * the chunks that the new head no longer names.
     *
     * @param before the head that the change was made from
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
        Set<String> present = before.head().chunks();
        for (ConfigurationChunks.Chunk chunk : chunks) {
            if (present.add(chunk.digest()) && !writeChunk(chunk)) {
                String message = "store unavailable: chunk " + chunk.digest() + " was not written" + NOTHING_CHANGED;
                return Either.left(new Failure(ExitCode.UNAVAILABLE, message));
            }
        }
        List<Entry> dropped = droppedChunks(before.head(), next);
        return writeHead(before, next, content).peek(version -> delete(dropped));
    }

    /**
     * Writes a chunk, also if the store has it already: its new revision keeps a change that dropped the chunk earlier
     * from deleting it.
     */
    private boolean writeChunk(ConfigurationChunks.Chunk chunk) {
        long expectedRevision = 0;
        for (int attempt = 0; attempt < CHUNK_ATTEMPTS; attempt++) {
            WriteResult result = write(StoreKeys.CHUNK_PREFIX + chunk.digest(), expectedRevision, chunk.content());
            if (result instanceof WriteResult.Done) {
                return true;
            }
            if (result instanceof WriteResult.Conflict conflict) {
                expectedRevision = conflict.currentRevision();
            }
        }
        return false;
    }

    /** The chunks that only the older head names, with their revisions; those that cannot be read are left out. */
    private List<Entry> droppedChunks(ConfigurationHead before, ConfigurationHead next) {
        Set<String> dropped = before.chunks();
        dropped.removeAll(next.chunks());
        List<Entry> entries = new ArrayList<>();
        for (String digest : dropped) {
            ReadResult result =
                    await(store.get(StoreKeys.CHUNK_PREFIX + digest), new ReadResult.Unavailable("no answer in time"));
            if (!(result instanceof ReadResult.Found found)) {
                return entries;
            }
            found.entries().forEach(entry -> entries.add(new Entry(entry.key(), new byte[0], entry.revision())));
        }
        return entries;
    }

    /**
     * Deletes chunks that no head names any more. A failure leaves an unused chunk behind, which does no harm.
     *
     * @param dropped chunks with the revisions that they had before the new head was written. A later change that uses
     *     such a chunk again read the new head, so it has written the chunk anew, under another revision.
     */
    private void delete(List<Entry> dropped) {
        for (Entry entry : dropped) {
            WriteResult result = await(
                    store.compareAndDelete(entry.key(), entry.revision()),
                    new WriteResult.OutcomeUnknown("no answer in time"));
            if (result instanceof WriteResult.NotDone) {
                return;
            }
        }
    }

    /**
     * Writes the head. After a lost answer the head is read; if it is unchanged, the same conditional write is sent
     * again, because the first one may still be under way.
     */
    private Either<Failure, Long> writeHead(StoredHead before, ConfigurationHead next, byte[] content) {
        boolean mayHaveRun = false;
        String reason = "";
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            WriteResult result = write(StoreKeys.CONFIGURATION, before.revision(), content);
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
            Either<Failure, StoredHead> now = readHead();
            if (now.isRight() && now.get().revision() != before.revision()) {
                return superseded(next, now.get().head(), mayHaveRun);
            }
            if (result instanceof WriteResult.Conflict) {
                return Either.left(unresolved(before, mayHaveRun));
            }
        }
        return Either.left(
                mayHaveRun
                        ? unknown(next, reason)
                        : new Failure(ExitCode.UNAVAILABLE, "store unavailable: " + reason + NOTHING_CHANGED));
    }

    /** The head has another revision, so the write has taken effect or never will. */
    private static Either<Failure, Long> superseded(ConfigurationHead ours, ConfigurationHead now, boolean mayHaveRun) {
        String id = ours.history().get(0).id();
        if (now.hasChange(id)) {
            return Either.right(ours.version());
        }
        boolean forgotten = now.version() - ours.version() >= ConfigurationHead.MAX_HISTORY;
        return Either.left(
                forgotten && mayHaveRun
                        ? unknown(ours, "many later changes")
                        : conflictFailure(ours.version() - 1, now));
    }

    private static Failure unresolved(StoredHead before, boolean mayHaveRun) {
        String expected =
                "another change was applied to version " + before.head().version();
        return mayHaveRun
                ? new Failure(ExitCode.OUTCOME_UNKNOWN, "outcome unknown: this or " + expected)
                : new Failure(ExitCode.REFUSED, "conflict: " + expected + NOTHING_CHANGED);
    }

    private static Failure unknown(ConfigurationHead next, String reason) {
        String message = "outcome unknown: version " + next.version() + " may or may not be in force (" + reason
                + "); look at it with show before you apply again";
        return new Failure(ExitCode.OUTCOME_UNKNOWN, message);
    }

    /** Tells who won. */
    static Failure conflictFailure(long expected, ConfigurationHead now) {
        StringBuilder message =
                new StringBuilder("conflict: expected version " + expected + ", found " + now.version());
        now.history().stream()
                .limit(1)
                .forEach(change -> message.append(
                        " (" + change.summary() + ", by " + change.appliedBy() + " at " + change.appliedAt() + ")"));
        return new Failure(ExitCode.REFUSED, message.append(NOTHING_CHANGED).toString());
    }

    private WriteResult write(String key, long expectedRevision, byte[] value) {
        return await(
                store.compareAndSwap(key, expectedRevision, value),
                new WriteResult.OutcomeUnknown("no answer in time"));
    }

    private <T> T await(CompletableFuture<T> answer, T late) {
        try {
            return answer.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return late;
        } catch (TimeoutException | ExecutionException failed) {
            return late;
        }
    }
}
