package org.auburnhoist.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.auburnhoist.emulator.ServiceTime;
import org.auburnhoist.host.EntryHost;
import org.auburnhoist.load.ExampleConfiguration;
import org.auburnhoist.load.LocalFleet;

/** Runs a small fleet with an emulated store and emulated upstreams in this process. */
final class DemoCommand implements Command {
    private static final List<String> EXAMPLES = List.of("starglass", "rosewood");
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final ServiceTime SERVICE_TIME = new ServiceTime(Duration.ofMillis(20), 0.3);

    private static final Setting<String> EXAMPLE = Setting.of(
                    "example",
                    "NAME",
                    "which configuration to run: " + String.join(" or ", EXAMPLES),
                    "one of " + String.join(", ", EXAMPLES),
                    value -> Optional.of(value).filter(EXAMPLES::contains))
            .withDefault("starglass");

    private static final Setting<Long> PORT = Setting.integer(
                    "port", "port of the first host; the others follow", 1024, 65_000)
            .withDefault(8081L);

    private static final Setting<Long> HOSTS =
            Setting.integer("hosts", "number of entry hosts", 1, 40).withDefault(3L);

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Runs a fleet with emulated store and upstreams in one process and prints requests to try.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(EXAMPLE, PORT, HOSTS);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        String example = settings.get(EXAMPLE);
        LocalFleet.Options options = new LocalFleet.Options(
                Math.toIntExact(settings.get(HOSTS)),
                Math.toIntExact(settings.get(PORT)),
                SERVICE_TIME,
                Duration.ofSeconds(10),
                1);
        return StopSignal.runTask(context, signal -> {
            try (LocalFleet fleet = LocalFleet.start(ExampleConfiguration.files(example), options)) {
                if (!fleet.awaitReady(READY_TIMEOUT)) {
                    context.err().println("the hosts did not become ready within " + READY_TIMEOUT.toSeconds() + " s");
                    return ExitCode.UNAVAILABLE;
                }
                printInstructions(example, fleet, context);
                signal.await(fleet::close);
                return ExitCode.DONE;
            }
        });
    }

    private static void printInstructions(String example, LocalFleet fleet, CommandContext context) {
        boolean starglass = example.equals("starglass");
        String key = starglass ? "member-web-2026" : "resident-web-2026";
        String lookup = starglass ? "/telescopes/7" : "/balances/7";
        String booking = starglass ? "/bookings" : "/payments";
        String authorization = "-H 'Authorization: Bearer " + key + ".demonstration-secret-of-" + key + "'";
        List<EntryHost> hosts = fleet.hosts();
        String first = "http://127.0.0.1:" + hosts.get(0).callerAddress().getPort();
        String last = "http://127.0.0.1:"
                + hosts.get(hosts.size() - 1).callerAddress().getPort();
        context.out().println("The fleet is running. Try:");
        context.out().println("  curl -i " + first + "/.auburnhoist/addresses");
        context.out().println("  curl -i " + authorization + " " + first + lookup);
        context.out().println("  curl -i -X POST -d x " + authorization + " " + first + booking);
        context.out().println("      (refused with an Operation-Id; send it back with that header, through any host:)");
        context.out().println("  curl -i -X POST -d x " + authorization + " -H 'Operation-Id: ...' " + last + booking);
        context.out().println("  curl -s " + first + "/.auburnhoist/metrics");
        context.out()
                .println("  target/auburnhoist status --store "
                        + fleet.storeEmulator().address().getAuthority());
        context.out().println("Stop it with Ctrl-C.");
        context.out().flush();
    }
}
