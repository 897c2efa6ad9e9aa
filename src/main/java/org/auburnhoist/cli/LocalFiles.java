package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationReader;

/** Reads and replaces configuration files on the operator's disk. */
final class LocalFiles {
    private LocalFiles() {}

    /** Reads files that have different base names; reports all that cannot be read. */
    static Either<Failure, List<ConfigurationFile>> read(CommandContext context, List<String> names) {
        List<ConfigurationFile> files = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        for (String name : names) {
            read(context, name).peek(files::add).peekLeft(failure -> problems.add(failure.message()));
        }
        return problems.isEmpty()
                ? Either.right(files)
                : Either.left(new Failure(ExitCode.REFUSED, String.join(System.lineSeparator(), problems)));
    }

    /** Reads one file. */
    static Either<Failure, ConfigurationFile> read(CommandContext context, String name) {
        try {
            Path path = context.workingDirectory().resolve(name);
            long size = Files.size(path);
            if (size > ConfigurationReader.MAX_FILE_BYTES) {
                String limit = "at most " + ConfigurationReader.MAX_FILE_BYTES + " bytes, found " + size;
                return Either.left(new Failure(ExitCode.REFUSED, name + ": expected " + limit));
            }
            return Either.right(new ConfigurationFile(String.valueOf(path.getFileName()), Files.readAllBytes(path)));
        } catch (IOException | InvalidPathException unreadable) {
            String message = name + ": expected a readable file, found " + unreadable;
            return Either.left(new Failure(ExitCode.REFUSED, message));
        }
    }

    /** Replaces a file atomically, so that a full disk leaves the old content in place. */
    static Either<Failure, Path> replace(CommandContext context, Path name, byte[] content) {
        try {
            Path path = context.workingDirectory().resolve(name).toRealPath();
            Path replacement = Files.createTempFile(path.getParent(), "." + path.getFileName(), ".new");
            try {
                Files.write(replacement, content);
                if (Files.getFileStore(path).supportsFileAttributeView("posix")) {
                    Files.setPosixFilePermissions(replacement, Files.getPosixFilePermissions(path));
                }
                Files.move(replacement, path, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                Files.deleteIfExists(replacement);
            }
            return Either.right(path);
        } catch (IOException | InvalidPathException failed) {
            String message = name + ": expected a file that can be replaced, found " + failed;
            return Either.left(new Failure(ExitCode.REFUSED, message));
        }
    }
}
