package org.auburnhoist.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.auburnhoist.cli.CliRunner;
import org.auburnhoist.cli.ExitCode;
import org.auburnhoist.cli.FaultInjectingStore;

/** Steps about operators who change the configuration. */
public final class OperatorSteps {
    private final FaultInjectingStore store = new FaultInjectingStore();
    private final Path directory = Files.createTempDirectory("operators");
    private final CliRunner amina = operator("amina", 1);
    private final CliRunner karim = operator("karim", 2);
    private ExitCode codeOfAmina = ExitCode.DONE;
    private ExitCode codeOfKarim = ExitCode.DONE;

    /** Creates a directory for the operators' files. */
    public OperatorSteps() throws IOException {}

    /** Deletes the operators' files. */
    @After
    public void deleteFiles() throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** Applies the first version. */
    @Given("{string} is applied with a burst of {int}")
    public void applied(String file, int burst) {
        assertEquals(ExitCode.DONE, apply(amina, file, burst, 0), amina.err());
    }

    /** Lets both operators read the newest version. */
    @Given("Amina and Karim have both seen version {int}")
    public void bothHaveSeen(int version) {
        for (CliRunner operator : new CliRunner[] {amina, karim}) {
            operator.run("show");
            assertTrue(operator.out().startsWith("version: " + version), operator.out());
        }
    }

    /** Applies Karim's change between Amina's read and her write. */
    @When("Karim applies {string} with a burst of {int} while Amina applies it with a burst of {int}")
    public void race(String file, int burstOfKarim, int burstOfAmina) {
        store.beforeNextHeadWrite(() -> codeOfKarim = apply(karim, file, burstOfKarim, 1));
        codeOfAmina = apply(amina, file, burstOfAmina, 1);
    }

    /** Applies Amina's file again. */
    @When("Amina applies {string} with a burst of {int} to version {int}")
    public void appliesAgain(String file, int burst, int version) {
        assertEquals(ExitCode.DONE, apply(amina, file, burst, version), amina.err());
    }

    /** Checks that Karim's change is accepted. */
    @Then("Karim's change is accepted as version {int}")
    public void accepted(int version) {
        assertEquals(ExitCode.DONE, codeOfKarim, karim.err());
        assertTrue(karim.out().contains("accepted version: " + version), karim.out());
    }

    /** Checks the conflict that is reported to the other operator. */
    @Then("Amina is told of a conflict with version {int} by {string}")
    public void conflict(int version, String winner) {
        assertEquals(ExitCode.REFUSED, codeOfAmina);
        assertTrue(amina.err().contains("found " + version + " ("), amina.err());
        assertTrue(amina.err().contains("by " + winner), amina.err());
        assertTrue(amina.err().contains("nothing was changed"), amina.err());
    }

    /** Checks the applied text. */
    @Then("the burst in force is {int}")
    public void burstInForce(int burst) {
        assertEquals(ExitCode.DONE, karim.run("show teams.yaml"));
        assertEquals(text(burst), karim.out());
    }

    /** Checks the authors of the versions. */
    @Then("the history names {string} for version {int} and {string} for version {int}")
    public void historyNames(String first, int firstVersion, String second, int secondVersion) {
        karim.run("show");
        assertTrue(karim.out().contains(firstVersion + ": by " + first), karim.out());
        assertTrue(karim.out().contains(secondVersion + ": by " + second), karim.out());
    }

    private CliRunner operator(String name, long seed) {
        return new CliRunner(directory.resolve(name), store, seed)
                .withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379")
                .withEnvironmentVariable("AUBURNHOIST_OPERATOR", name);
    }

    private static ExitCode apply(CliRunner operator, String file, int burst, int version) {
        return operator.writeFile(file, text(burst)).run("apply " + file + " --expect-version " + version);
    }

    private static String text(int burst) {
        return "teams: {school: {rate-per-second: 5, burst: " + burst + ", weight: 1}}\n";
    }
}
