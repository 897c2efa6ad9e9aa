package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.emulator.ServiceTime;
import org.auburnhoist.emulator.UpstreamSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against emulators that listen on other addresses than configured, or that start only partially. */
class EmulatorCommandsTest {
    private static final String SERVICES = """
            services:
              catalogue:
                slots-per-server: 6
                connections-per-server: 330
                floor: 0.7
                profile: cautious
                servers:
                  catalogue-1: {address: "%s", data-centre: hall-1}
            """;

    @TempDir
    private Path directory;

    private CliRunner newRunner() {
        return new CliRunner(directory, new FaultInjectingStore(), 1);
    }

    @Test
    void emulatesEachDeclaredServerOfTheExamplesOnItsPort() throws IOException {
        ConfigurationFile file =
                new ConfigurationFile("services.yaml", Files.readAllBytes(Path.of("examples/starglass/services.yaml")));
        var configuration = ConfigurationReader.read(0, List.of(file)).get();
        List<UpstreamSpec> specs = UpstreamEmulatorCommand.specs(
                        configuration, new ServiceTime(Duration.ofMillis(20), 0.3))
                .get();
        assertEquals(30, specs.size());
        UpstreamSpec ledger = specs.stream()
                .filter(spec -> spec.name().equals("ledger-1"))
                .findFirst()
                .orElseThrow();
        assertEquals(21_010, ledger.port());
        assertEquals(6, ledger.slots());
    }

    @Test
    void refusesServersOnOtherMachines() {
        CliRunner cli = newRunner().writeFile("services.yaml", SERVICES.formatted("192.0.2.1:8080"));
        assertEquals(ExitCode.REFUSED, cli.run("upstream-emulator services.yaml"));
        String expected = "services.catalogue.servers.catalogue-1.address: expected a port on 127.0.0.1";
        assertTrue(cli.err().contains(expected), cli.err());
    }

    @Test
    void refusesAStoreOnOtherMachines() {
        CliRunner cli = newRunner();
        assertEquals(ExitCode.USAGE, cli.run("store-emulator --listen 192.0.2.1:2379"));
        assertTrue(cli.err().contains("--listen: expected one address on 127.0.0.1"), cli.err());
        assertEquals(ExitCode.USAGE, cli.run("store-emulator --listen 127.0.0.1:2379,127.0.0.1:2380"));
    }

    @Test
    void reportsAPortInUse() throws IOException {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            CliRunner cli = newRunner().writeFile("services.yaml", SERVICES.formatted(address));
            assertEquals(ExitCode.REFUSED, cli.run("store-emulator --listen " + address));
            assertTrue(cli.err().contains("could not start"), cli.err());
            assertEquals(ExitCode.REFUSED, cli.run("upstream-emulator services.yaml"));
            assertTrue(cli.err().contains("could not listen for catalogue-1 on port " + taken.getLocalPort()));
        }
    }
}
