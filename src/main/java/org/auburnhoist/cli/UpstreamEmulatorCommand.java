package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.emulator.ServiceTime;
import org.auburnhoist.emulator.UpstreamEmulator;
import org.auburnhoist.emulator.UpstreamSpec;

/** Runs an emulated server for each declared one, all in one separate process, for trials on one machine. */
final class UpstreamEmulatorCommand implements FilesCommand {
    private static final double SERVICE_TIME_SPREAD = 0.3;

    private static final Setting<Duration> SERVICE_TIME = Setting.duration(
                    "service-time", "median time that an emulated server works on a request")
            .withDefault(Duration.ofMillis(20));

    @Override
    public String name() {
        return "upstream-emulator";
    }

    @Override
    public String summary() {
        return "Runs an emulated server for each server of a configuration, on its declared loopback address.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(SERVICE_TIME);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        ServiceTime time = new ServiceTime(settings.get(SERVICE_TIME), SERVICE_TIME_SPREAD);
        return LocalFiles.read(context, settings.operands())
                .flatMap(files -> ConfigurationReader.read(0, files).mapLeft(ConfigurationUpdater::toFailure))
                .flatMap(configuration -> specs(configuration, time))
                .map(specs -> run(specs, context))
                .getOrElseGet(failure -> failure.report(context));
    }

    /** Specifies an emulated server for each declared one; refuses addresses other than 127.0.0.1. */
    static Either<Failure, List<UpstreamSpec>> specs(FleetConfiguration configuration, ServiceTime time) {
        List<UpstreamSpec> specs = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        for (Service service : configuration.services().values()) {
            for (Server server : service.servers()) {
                InetSocketAddress address = addressOf(server);
                if (LoopbackAddress.isLoopback(address)) {
                    specs.add(spec(service, server, time).withPort(address.getPort()));
                } else {
                    problems.add("services." + service.name() + ".servers." + server.name()
                            + ".address: expected a port on 127.0.0.1, found \"" + server.address() + "\"");
                }
            }
        }
        return problems.isEmpty()
                ? Either.right(specs)
                : Either.left(new Failure(ExitCode.REFUSED, String.join(System.lineSeparator(), problems)));
    }

    private static UpstreamSpec spec(Service service, Server server, ServiceTime time) {
        return UpstreamSpec.of(
                service.name(), server.name(), service.slotsPerServer(), service.connectionsPerServer(), time);
    }

    private static InetSocketAddress addressOf(Server server) {
        String text = server.address();
        int colon = text.lastIndexOf(':');
        return InetSocketAddress.createUnresolved(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static ExitCode run(List<UpstreamSpec> specs, CommandContext context) {
        UpstreamEmulator.Builder builder = UpstreamEmulator.builder();
        specs.forEach(builder::server);
        return StopSignal.runTask(context, signal -> {
            try (UpstreamEmulator emulator = builder.start()) {
                context.out().println(emulator.servers().size() + " emulated servers");
                context.out().flush();
                signal.await(emulator::close);
                return ExitCode.DONE;
            }
        });
    }
}
