package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.auburnhoist.core.configuration.ConfigurationChunks;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationHead;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.core.configuration.Finding;
import org.auburnhoist.core.configuration.Sha256;
import org.auburnhoist.store.Store;

/** Changes the configuration in the store atomically. Used by every command that changes the configuration. */
final class ConfigurationUpdater {
    private static final int CHANGE_ID_BYTES = 16;

    private final Settings settings;
    private final CommandContext context;
    private final ConfigurationRepository repository;
    private final RolloutMonitor rollout;

    private ConfigurationUpdater(Settings settings, CommandContext context, Store store) {
        this.settings = settings;
        this.context = context;
        Duration timeout = settings.get(CommonSettings.STORE_TIMEOUT);
        this.repository = new ConfigurationRepository(store, timeout);
        this.rollout = new RolloutMonitor(
                new RosterRepository(store, timeout)::find,
                FleetStatus::query,
                System::nanoTime,
                duration -> Thread.sleep(duration.toMillis()),
                context.out());
    }

    /** Opens the store, runs a task with a repository and closes the store. */
    static ExitCode withRepository(
            Settings settings,
            CommandContext context,
            Function<ConfigurationRepository, Either<Failure, ExitCode>> task) {
        return StoreAccess.withStore(
                settings,
                context,
                store -> task.apply(new ConfigurationRepository(store, settings.get(CommonSettings.STORE_TIMEOUT))));
    }

    /**
     * Replaces and removes files.
     *
     * @param settings settings of a command that declares those of {@link CommonSettings}
     * @param context resources of the process
     * @param replaced files with their new content
     * @param removed names of files to remove
     */
    static ExitCode apply(
            Settings settings, CommandContext context, List<ConfigurationFile> replaced, Set<String> removed) {
        return StoreAccess.withStore(
                settings,
                context,
                store -> new ConfigurationUpdater(settings, context, store).apply(replaced, removed));
    }

    private Either<Failure, ExitCode> apply(List<ConfigurationFile> replaced, Set<String> removed) {
        return repository.readHead().flatMap(before -> {
            context.out().println("newest version: " + before.head().version());
            Optional<Failure> failure = checkPreconditions(before.head(), removed);
            if (failure.isPresent()) {
                return Either.left(failure.get());
            }
            if (removed.isEmpty() && isApplied(before.head(), replaced)) {
                context.out().println("no difference; nothing was changed");
                return Either.right(ExitCode.DONE);
            }
            return check(before.head(), replaced, removed).flatMap(valid -> write(before, replaced, removed));
        });
    }

    private Optional<Failure> checkPreconditions(ConfigurationHead head, Set<String> removed) {
        Optional<Long> expected = settings.find(CommonSettings.EXPECT_VERSION);
        if (expected.isPresent() && expected.get() != head.version()) {
            return Optional.of(ConfigurationRepository.conflictFailure(expected.get(), head));
        }
        return removed.stream()
                .filter(name -> head.file(name).isEmpty())
                .findFirst()
                .map(name -> new Failure(ExitCode.REFUSED, unknownFileMessage(head, name)));
    }

    static String unknownFileMessage(ConfigurationHead head, String name) {
        String names =
                head.files().stream().map(ConfigurationHead.FileEntry::name).collect(Collectors.joining(", "));
        return "file: expected one of the applied files (" + names + "), found \"" + name + "\"";
    }

    private static boolean isApplied(ConfigurationHead head, List<ConfigurationFile> files) {
        return files.stream()
                .allMatch(file -> head.file(file.name())
                        .map(entry -> entry.sha256().equals(Sha256.hex(file.content())))
                        .orElse(false));
    }

    /** Checks the whole configuration as it would be after the change. */
    private Either<Failure, Boolean> check(
            ConfigurationHead head, List<ConfigurationFile> replaced, Set<String> removed) {
        List<ConfigurationFile> files = new ArrayList<>(replaced);
        Set<String> names = replaced.stream().map(ConfigurationFile::name).collect(Collectors.toSet());
        for (ConfigurationHead.FileEntry entry : head.files()) {
            if (names.contains(entry.name()) || removed.contains(entry.name())) {
                continue;
            }
            Either<Failure, ConfigurationFile> kept = repository.readFile(entry);
            if (kept.isLeft()) {
                return Either.left(kept.getLeft());
            }
            files.add(kept.get());
        }
        return ConfigurationReader.read(head.version() + 1, files)
                .map(configuration -> true)
                .mapLeft(ConfigurationUpdater::toFailure);
    }

    /** Combines all findings into one failure. */
    static Failure toFailure(List<Finding> findings) {
        List<String> lines =
                new ArrayList<>(findings.stream().map(Finding::describe).toList());
        lines.add(findings.size() + (findings.size() == 1 ? " finding" : " findings") + "; nothing was changed");
        return new Failure(ExitCode.REFUSED, String.join(System.lineSeparator(), lines));
    }

    private Either<Failure, ExitCode> write(StoredHead before, List<ConfigurationFile> replaced, Set<String> removed) {
        ConfigurationHead next = before.head().next(createChange(before.head(), replaced, removed), replaced, removed);
        List<ConfigurationChunks.Chunk> chunks = new ArrayList<>();
        replaced.forEach(file -> chunks.addAll(ConfigurationChunks.split(file.content())));
        return repository.replace(before, next, chunks).map(version -> {
            context.out().println("accepted version: " + version);
            rollout.awaitAndReport(version, settings.get(CommonSettings.WAIT));
            return ExitCode.DONE;
        });
    }

    private ConfigurationHead.Change createChange(
            ConfigurationHead head, List<ConfigurationFile> replaced, Set<String> removed) {
        byte[] id = new byte[CHANGE_ID_BYTES];
        context.random().nextBytes(id);
        List<String> parts = new ArrayList<>();
        replaced.forEach(file -> parts.add("replaced " + file.name()));
        removed.forEach(name -> parts.add("removed " + name));
        return new ConfigurationHead.Change(
                head.version() + 1,
                HexFormat.of().formatHex(id),
                settings.get(CommonSettings.OPERATOR),
                context.clock().instant().toString(),
                String.join(", ", parts));
    }
}
