package org.auburnhoist.cli;

import java.util.List;

/** The commands of the program. A new command is added to the list here. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(
                new CheckCommand(),
                new ApplyCommand(),
                new DiffCommand(),
                new ShowCommand(),
                new RemoveCommand(),
                new KeysIssueCommand(),
                new KeysWithdrawCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new HostsLeaveCommand(),
                new HostsRebuildCommand(),
                new ServeCommand(),
                new ServePlatformCommand(),
                new StoreEmulatorCommand(),
                new UpstreamEmulatorCommand(),
                new DemoCommand(),
                new ExperimentCommand(),
                new LoadCommand());
    }
}
