package org.auburnhoist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the adapter uses the platform's names, and that only the command that starts it depends on it. */
@AnalyzeClasses(packages = "org.auburnhoist", importOptions = ImportOption.DoNotIncludeTests.class)
class PlatformBoundaryTest {
    private static final Pattern PLATFORM_NAMES = Pattern.compile(
            "\"X-[A-Z]|X-Attempt-Id|X-Target-Instance|X-Not-Executed|X-Response-Signature|kv-|op/config|\"servers/"
                    + "|/api/|weighted_backends|path_prefix|api_keys|auth_exempt|node_name|warmup_left_ms|rate_per_s");
    private static final List<String> EXEMPT_FILES = List.of("HeaderRules.java"); // sets X-Forwarded-For

    @ArchTest
    static final ArchRule ONLY_THE_COMMAND_STARTS_THE_ADAPTER = noClasses()
            .that()
            .resideOutsideOfPackage("org.auburnhoist.platform..")
            .and()
            .doNotHaveFullyQualifiedName("org.auburnhoist.cli.ServePlatformCommand")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.auburnhoist.platform..");

    @Test
    void noOtherPackageNamesThePlatform() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/org/auburnhoist"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                boolean adapter = file.getParent().endsWith("platform");
                if (!adapter && !EXEMPT_FILES.contains(file.getFileName().toString())) {
                    String text = Files.readString(file);
                    if (PLATFORM_NAMES.matcher(text).find()) {
                        found.add(file.toString());
                    }
                }
            }
        }
        assertEquals(List.of(), found);
    }
}
