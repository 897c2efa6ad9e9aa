package org.auburnhoist.host;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.auburnhoist.core.blackboard.ActiveConfiguration;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.configuration.ConfigurationChunks;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationHead;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.core.configuration.Finding;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterCodec;
import org.auburnhoist.core.message.ChunkAnswer;
import org.auburnhoist.core.message.ChunkRequest;
import org.auburnhoist.core.message.DocumentAnswer;
import org.auburnhoist.core.message.DocumentKind;
import org.auburnhoist.core.message.DocumentRequest;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Adopts newer versions of the configuration and the roster from any source, and serves them to other hosts.
 *
 * <p>A configuration is adopted as a whole: the host parses its head, fetches the chunks that it lacks, and then reads
 * all files together. Versions never decrease.
 */
final class DocumentController {
    private final Blackboard board;
    private final ControlThread control;
    private final ConfigurationReader reader = new ConfigurationReader();
    private final Map<String, byte[]> chunks = new HashMap<>();
    private byte[] headBytes = new byte[0];
    private byte[] rosterBytes = new byte[0];
    private ConfigurationHead head = ConfigurationHead.NONE;
    private Runnable changeListener = () -> {};

    DocumentController(Blackboard board, ControlThread control) {
        this.board = board;
        this.control = control;
    }

    /** Source of configuration chunks; a future completes with null if the chunk is not available. */
    interface ChunkSource {
        CompletableFuture<byte @Nullable []> fetch(String digest);
    }

    /** Sets the listener that runs after each adoption of a document. */
    void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Head of the active configuration. */
    ConfigurationHead head() {
        return head;
    }

    /**
     * Adopts those of the offered documents that are newer than the current ones.
     *
     * @param newHead encoded head, empty if none is offered
     * @param newRoster encoded roster, empty if none is offered
     * @param source where missing chunks come from
     * @param done called on the control thread after each document was adopted, skipped or rejected
     */
    void offer(byte[] newHead, byte[] newRoster, ChunkSource source, LongConsumer done) {
        if (newHead.length == 0) {
            control.execute(now -> {
                adoptRoster(newRoster, now);
                done.accept(now);
            });
            return;
        }
        Either<String, ConfigurationHead> parsed = ConfigurationHead.parse(newHead);
        if (parsed.isLeft()) {
            Event.named("configuration-head-refused")
                    .with("cause", parsed.getLeft())
                    .warn();
            offer(new byte[0], newRoster, source, done);
            return;
        }
        fetchMissing(parsed.get(), source, now -> {
            adoptHead(parsed.get(), newHead, now);
            adoptRoster(newRoster, now);
            done.accept(now);
        });
    }

    /** Handles a request of another host. */
    DocumentAnswer handle(DocumentRequest request) {
        boolean configuration = request.kind() == DocumentKind.CONFIGURATION;
        byte[] content = configuration ? headBytes : rosterBytes;
        Roster roster = board.roster();
        long version = configuration ? head.version() : roster == null ? 0 : roster.version();
        return version < request.version()
                ? new DocumentAnswer(request.kind(), 0, new byte[0])
                : new DocumentAnswer(request.kind(), version, content);
    }

    /** Handles a request of another host. */
    ChunkAnswer handle(ChunkRequest request) {
        byte[] content = chunks.get(request.digest());
        return content == null
                ? new ChunkAnswer(request.digest(), false, new byte[0])
                : new ChunkAnswer(request.digest(), true, content);
    }

    private void fetchMissing(ConfigurationHead newHead, ChunkSource source, LongConsumer done) {
        List<String> missing = new ArrayList<>();
        if (newHead.version() > head.version()) {
            newHead.chunks().stream()
                    .filter(digest -> !chunks.containsKey(digest))
                    .forEach(missing::add);
        }
        fetchNext(missing, 0, source, done);
    }

    private void fetchNext(List<String> missing, int index, ChunkSource source, LongConsumer done) {
        if (index == missing.size()) {
            control.execute(done);
            return;
        }
        String digest = missing.get(index);
        source.fetch(digest)
                .whenComplete((content, failure) -> control.execute(now -> {
                    if (content == null || !ConfigurationChunks.isIntact(digest, content)) {
                        Event.named("configuration-chunk-missing")
                                .with("digest", digest)
                                .warn();
                        done.accept(now);
                        return;
                    }
                    chunks.put(digest, content);
                    fetchNext(missing, index + 1, source, done);
                }));
    }

    private void adoptHead(ConfigurationHead newHead, byte[] encoded, long nowNanos) {
        if (newHead.version() <= head.version()) {
            return;
        }
        List<ConfigurationFile> files = new ArrayList<>();
        for (ConfigurationHead.FileEntry entry : newHead.files()) {
            Either<ConfigurationChunks.JoinFailure, byte[]> joined =
                    ConfigurationChunks.join(entry.chunks(), chunks::get);
            if (joined.isLeft()) {
                return;
            }
            files.add(new ConfigurationFile(entry.name(), joined.get()));
        }
        Either<List<Finding>, FleetConfiguration> read = reader.readIncrementally(newHead.version(), files);
        if (read.isLeft()) {
            Event.named("configuration-refused")
                    .with("version", newHead.version())
                    .with("findings", read.getLeft())
                    .warn();
            return;
        }
        head = newHead;
        headBytes = encoded;
        Set<String> used = newHead.chunks();
        chunks.keySet().retainAll(used);
        board.adopt(ActiveConfiguration.of(read.get()), nowNanos);
        Event.named("configuration-in-force")
                .with("version", newHead.version())
                .with("applied_by", newHead.history().get(0).appliedBy())
                .with("summary", newHead.history().get(0).summary())
                .log();
        changeListener.run();
    }

    private void adoptRoster(byte[] encoded, long nowNanos) {
        if (encoded.length == 0) {
            return;
        }
        RosterCodec.decode(encoded)
                .peek(roster -> adopt(roster, encoded, nowNanos))
                .peekLeft(problem ->
                        Event.named("roster-refused").with("cause", problem).warn());
    }

    private void adopt(Roster roster, byte[] encoded, long nowNanos) {
        Roster before = board.roster();
        if (before != null && roster.version() <= before.version()) {
            return;
        }
        if (board.adopt(roster, nowNanos)) {
            rosterBytes = encoded;
            Event.named("roster-adopted")
                    .with("version", roster.version())
                    .with("members", roster.members().size())
                    .log();
            changeListener.run();
        }
    }
}
