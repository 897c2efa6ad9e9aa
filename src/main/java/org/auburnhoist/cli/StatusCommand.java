package org.auburnhoist.cli;

import java.time.Duration;
import java.util.List;

/** Shows the version that each host has in force. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Shows the applied version and, for each host of the roster, the version that it has in force.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(CommonSettings.STORE.asRequired(), CommonSettings.STORE_TIMEOUT);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return StoreAccess.withStore(settings, context, store -> {
            Duration timeout = settings.get(CommonSettings.STORE_TIMEOUT);
            return new ConfigurationRepository(store, timeout)
                    .readHead()
                    .flatMap(stored -> new RosterRepository(store, timeout)
                            .read()
                            .map(roster -> {
                                context.out()
                                        .println("configuration version: "
                                                + stored.head().version());
                                context.out()
                                        .println("roster version: " + roster.version() + ", settled "
                                                + roster.settledVersion());
                                FleetStatus status = FleetStatus.query(roster);
                                status.print(context.out());
                                return ExitCode.DONE;
                            }));
        });
    }
}
