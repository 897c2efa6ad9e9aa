package org.auburnhoist.cli;

import java.nio.file.Path;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.Key;
import org.auburnhoist.core.configuration.KeyFileEditor;
import org.auburnhoist.core.configuration.Sha256;

/** Generates a key and writes its hash into a file. */
final class KeysIssueCommand implements Command {
    static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    static final String NAME_FORMAT = "1 to 63 lower-case letters, digits and hyphens";

    private static final Setting<String> TEAM = Setting.text(
                    "team",
                    "NAME",
                    "team that the key belongs to",
                    NAME_FORMAT,
                    Pattern.compile("[a-z0-9][a-z0-9-]{0,50}"))
            .asRequired();
    private static final Setting<Path> FILE =
            Setting.path("file", "file whose keys section gets the hash").asRequired();

    private static final int SECRET_BYTES = 32;
    private static final int ID_BYTES = 4;

    @Override
    public String name() {
        return "keys issue";
    }

    @Override
    public String summary() {
        return "Prints a new key once and appends its hash to a file; apply the file to put the key in force.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(TEAM, FILE);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        Path file = settings.get(FILE);
        byte[] idBytes = new byte[ID_BYTES];
        byte[] secretBytes = new byte[SECRET_BYTES];
        context.random().nextBytes(idBytes);
        context.random().nextBytes(secretBytes);
        String id = settings.get(TEAM) + "-" + HexFormat.of().formatHex(idBytes);
        String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(secretBytes);
        Key key = new Key(id, settings.get(TEAM), Sha256.hex(secret), false);
        return LocalFiles.read(context, file.toString())
                .flatMap(content -> KeyFileEditor.append(content, key).mapLeft(ConfigurationUpdater::toFailure))
                .map(ConfigurationFile::content)
                .flatMap(content -> LocalFiles.replace(context, file, content))
                .map(path -> report(id + "." + secret, file, context))
                .getOrElseGet(failure -> failure.report(context));
    }

    private static ExitCode report(String key, Path file, CommandContext context) {
        context.err().println("The key is shown only this time; " + file + " has its hash. Apply the file next.");
        context.out().println(key);
        return ExitCode.DONE;
    }
}
