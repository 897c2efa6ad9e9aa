package org.auburnhoist.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.auburnhoist.platform.BootFile;
import org.auburnhoist.platform.PlatformHost;
import org.auburnhoist.support.Event;
import org.auburnhoist.support.LogFormatter;
import org.auburnhoist.support.Supervisor;

/** Runs an entry host on the users' platform until it is stopped. */
final class ServePlatformCommand implements Command {
    static final String NAME = "serve-platform";

    private static final Setting<Path> NODE_FILE = Setting.path(
                    "node-file", "settings file that the platform gives this process")
            .asRequired();

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public String summary() {
        return "Runs an entry host on a platform that gives it a settings file; SIGTERM begins a planned stop.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(NODE_FILE);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        Path file = settings.get(NODE_FILE);
        return StopSignal.runTask(context, signal -> {
            try {
                BootFile boot = BootFile.read(file);
                PlatformHost host =
                        PlatformHost.start(boot, new Supervisor(part -> endProcess(), System.nanoTime()).start());
                HangupSignal.handle(() -> revalidate(file, boot));
                signal.await(() -> stopAndClose(host));
                return ExitCode.DONE;
            } catch (BootFile.InvalidBootFileException invalid) {
                invalid.findings().forEach(finding -> context.err().println(finding.describe()));
                return ExitCode.USAGE;
            }
        });
    }

    /** Halts, because a planned stop needs the part that has stopped. The supervisor has logged which one it is. */
    private static void endProcess() {
        LogFormatter.flush();
        Runtime.getRuntime().halt(ExitCode.PART_STOPPED.status());
    }

    /** Closes the host too, because the virtual machine waits for threads that are in a selector when it halts. */
    private static void stopAndClose(PlatformHost host) {
        host.stop().join();
        host.close();
    }

    /** Checks the file again and logs its faults. A changed file takes effect at the next start. */
    private static void revalidate(Path file, BootFile active) {
        try {
            BootFile read = BootFile.read(file);
            Event.named("settings-checked")
                    .with("changed", !read.equals(active))
                    .with("in_force", "at-next-start")
                    .log();
        } catch (BootFile.InvalidBootFileException invalid) {
            invalid.findings()
                    .forEach(finding -> Event.named("settings-invalid")
                            .with("finding", finding.describe())
                            .warn());
        } catch (IOException cause) {
            Event.named("settings-unreadable").with("cause", cause).warn();
        }
    }
}
