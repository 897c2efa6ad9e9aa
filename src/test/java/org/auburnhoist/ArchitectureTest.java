package org.auburnhoist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import org.auburnhoist.core.StorePosition;

/**
 * Keeps I/O, threads, clocks and global randomness out of the core package, so that simulations run the same code, and
 * bare revisions of the store out of everything but its clients.
 */
@AnalyzeClasses(packages = "org.auburnhoist", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule CORE_DOES_NO_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAPackage("org.auburnhoist.core..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "org.apache.hc..")
            .orShould()
            .dependOnClassesThat()
            .haveNameMatching("java\\.io\\.(File.*|RandomAccessFile|Console)");

    @ArchTest
    static final ArchRule CORE_STARTS_NO_THREADS = noClasses()
            .that()
            .resideInAPackage("org.auburnhoist.core..")
            .should()
            .dependOnClassesThat()
            .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.Timer|java\\.util\\.concurrent\\.(.*Execut.*"
                    + "|CompletableFuture|ForkJoin.*|locks\\..*|ThreadLocalRandom)");

    @ArchTest
    static final ArchRule CORE_READS_NO_CLOCK = noClasses()
            .that()
            .resideInAPackage("org.auburnhoist.core..")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .belongToAnyOf(java.time.Clock.class, java.time.Instant.class);

    @ArchTest
    static final ArchRule CORE_DRAWS_NO_GLOBAL_RANDOM_NUMBERS = noClasses()
            .that()
            .resideInAPackage("org.auburnhoist.core..")
            .should()
            .callMethod(Math.class, "random")
            .orShould()
            .dependOnClassesThat()
            .haveNameMatching("java\\.security\\.SecureRandom|java\\.util\\.Random|java\\.util\\.UUID");

    /** A bare revision would be compared across eras of the store. */
    @ArchTest
    static final ArchRule REVISIONS_ARE_PART_OF_A_POSITION = fields().that()
            .haveNameMatching("(?i).*revision.*")
            .and()
            .haveRawType(long.class)
            .should()
            .beDeclaredInClassesThat()
            .resideInAnyPackage("org.auburnhoist.store..", "org.auburnhoist.platform..", "org.auburnhoist.emulator..")
            .orShould()
            .beDeclaredIn(StorePosition.class);

    @ArchTest
    static final ArchRule CORE_DEPENDS_ON_NO_OTHER_PACKAGE = noClasses()
            .that()
            .resideInAPackage("org.auburnhoist.core..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.auburnhoist.store..",
                    "org.auburnhoist.peer..",
                    "org.auburnhoist.proxy..",
                    "org.auburnhoist.host..",
                    "org.auburnhoist.emulator..",
                    "org.auburnhoist.load..",
                    "org.auburnhoist.cli..");
}
