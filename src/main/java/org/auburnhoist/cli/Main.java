package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.net.URI;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import org.auburnhoist.store.EtcdStore;
import org.auburnhoist.support.LogFormatter;
import org.auburnhoist.support.ProcessLogManager;

/** Entry point of the executable. */
public final class Main {
    private Main() {}

    /**
     * Runs the subcommand named by the first argument and exits with its status.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        if (arguments.length > 0 && arguments[0].equals(ServePlatformCommand.NAME)) {
            // First of all, because the platform may send SIGHUP at any time.
            HangupSignal.hold();
        }
        System.setProperty(ProcessLogManager.PROPERTY, ProcessLogManager.class.getName());
        LogFormatter.install();
        CommandContext context = new CommandContext(
                System.out, System.err, Path.of(""), Clock.systemUTC(), new SecureRandom(), stores());
        ExitCode code = new Program(Commands.all(), version()).run(List.of(arguments), System.getenv(), context);
        System.out.flush();
        System.exit(code.status());
    }

    private static StoreFactory stores() {
        return addresses -> {
            EtcdStore.Builder builder = EtcdStore.builder();
            addresses.forEach(address ->
                    builder.endpoint(URI.create("http://" + address.getHostString() + ":" + address.getPort())));
            return Either.right(builder.build());
        };
    }

    private static String version() {
        return Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
