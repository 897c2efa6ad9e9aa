package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.cli.Main;
import org.auburnhoist.support.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a host that ends, or stays for ever, because of a signal that comes while it starts. */
@Timeout(120)
class EarlySignalProcessTest {
    private final Closer closer = new Closer();
    private String settings;
    private Path pipe;
    private Process process;

    @TempDir
    private Path folder;

    /** Starts a host that reads its settings from a pipe, so that it waits there until the test writes them. */
    @BeforeEach
    void start() throws Exception {
        FakeKvStore store = closer.register(new FakeKvStore());
        store.put("op/config", PlatformHostTest.configuration(4, "k1", 1_000));
        int peer = PlatformHostTest.freeAddress().getPort();
        settings = """
                self: {node_name: "edge-1", zone: "a", ip: "127.0.0.1", bootstrap: true,
                       limits: {cpu_share: 1.0, cores: 1}}
                network: {listen: {front: "127.0.0.1:%d"}, internal_port_range: [%d, %d]}
                platform: {platform: {address: "127.0.0.1:%d"}}
                terms: {bounds: {grace_s: 2, ttl_max_s: 2}}
                """.formatted(
                        PlatformHostTest.freeAddress().getPort(),
                        peer,
                        peer,
                        store.address().getPort());
        pipe = folder.resolve("node.yaml");
        run("mkfifo", pipe.toString());
        // A process whose parent ignores SIGHUP, as under nohup, ignores it too, and Java then sets no handler.
        ProcessBuilder builder = new ProcessBuilder(
                        "env",
                        "--default-signal=HUP",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve-platform")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("AUBURNHOIST_NODE_FILE", pipe.toString());
        process = builder.start();
        closer.register(process::destroyForcibly);
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** The default of SIGHUP ended the process: the platform sends it whenever the settings have changed. */
    @Test
    void aChangeOfTheSettingsDuringTheStartIsCheckedWhenTheHostRuns() throws Exception {
        try (OutputStream output = Files.newOutputStream(pipe)) {
            run("kill", "-HUP", String.valueOf(process.pid()));
            assertFalse(process.waitFor(500, TimeUnit.MILLISECONDS), "the process has ended");
            write(output);
            // The host reads the file again when it runs.
            Files.delete(pipe);
            Files.writeString(pipe, settings);
        }
        awaitLog("event=settings-checked");
        process.destroy();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), () -> log());
    }

    /** A host that has begun to listen, and ends without its planned stop, would cut the requests that it has read. */
    @Test
    void aStopDuringTheStartIsAPlannedStop() throws Exception {
        try (OutputStream output = Files.newOutputStream(pipe)) {
            process.destroy();
            Thread.sleep(300);
            write(output);
        }
        assertTrue(process.waitFor(30, TimeUnit.SECONDS), () -> "the process goes on: " + log());
        assertEquals(0, process.exitValue(), () -> log());
        awaitLog("event=host-stopped");
    }

    /** A start that fails must not wait for ever for the end of a planned stop. */
    @Test
    void aStopDuringAStartThatFailsEndsTheProcess() throws Exception {
        try (OutputStream output = Files.newOutputStream(pipe)) {
            process.destroy();
            Thread.sleep(300);
            output.write("self: {}\n".getBytes(StandardCharsets.UTF_8));
        }
        assertTrue(process.waitFor(30, TimeUnit.SECONDS), () -> "the process goes on: " + log());
    }

    private void write(OutputStream output) throws IOException {
        output.write(settings.getBytes(StandardCharsets.UTF_8));
    }

    private void awaitLog(String text) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!log().contains(text)) {
            assertTrue(System.nanoTime() - end < 0, () -> "no " + text + " in " + log());
            Thread.sleep(50);
        }
    }

    private String log() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    private static void run(String... command) throws Exception {
        assertEquals(0, new ProcessBuilder(command).inheritIO().start().waitFor(), command[0]);
    }
}
