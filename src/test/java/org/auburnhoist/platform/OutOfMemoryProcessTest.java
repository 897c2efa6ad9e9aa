package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a host that runs on, without a part of its threads, after its memory has run out. */
@Timeout(120)
class OutOfMemoryProcessTest {
    /** Status with which the virtual machine ends for want of memory. */
    private static final int OUT_OF_MEMORY_STATUS = 3;

    @TempDir
    private Path folder;

    // An error in one thread ended that thread or was logged, and the host went on with what was left.
    @Test
    void aProcessWithTheDeployFilesOptionsEndsWhenItsMemoryRunsOut() throws Exception {
        Path log = folder.resolve("log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(deployOptions());
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), HeapFiller.class.getName()));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process goes on");
        } finally {
            process.destroyForcibly();
        }
        assertEquals(OUT_OF_MEMORY_STATUS, process.exitValue());
        assertTrue(Files.readString(log).contains("OutOfMemoryError"), Files.readString(log));
    }

    private static List<String> deployOptions() throws Exception {
        Matcher run =
                Pattern.compile("(?m)^run = \"java (.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        assertTrue(run.find());
        List<String> options = Arrays.stream(run.group(1).split(" "))
                .filter(word -> word.startsWith("-X") && !word.contains("SharedArchiveFile"))
                .toList();
        assertTrue(options.contains("-Xmx96m"), options::toString);
        return options;
    }
}
