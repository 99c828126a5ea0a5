package org.hyssoprouter.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Holds the layers of docs/ARCHITECTURE.md. */
class LayersTest {
    private static final String ROOT = "org.hyssoprouter";
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages(ROOT);

    @Test
    void valuesUseNothingOfOurs() {
        forbid(packages("lib"), packages("transport", "internal", "daemon"));
        forbid(packages("errors"), packages("transport", "internal", "daemon"));
        forbid(packages("util"), packages("transport", "internal", "daemon"));
    }

    @Test
    void portsKnowNoDecisionsAndDecisionsNoAdapters() {
        forbid(packages("transport"), packages("internal", "daemon"));
        forbid(packages("internal"), packages("daemon"));
        forbid(
                packages("internal"),
                "okhttp3..",
                "io.jooby..",
                "io.netty..",
                "java.net..",
                "io.micrometer..");
    }

    @Test
    void decisionsReadNoSystemClock() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + ".internal..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(CLASSES);
    }

    @Test
    void adaptersAndPeerLinkKnowOnlyPorts() {
        String[] services = {
            ROOT + ".internal..",
            ROOT + ".daemon.http..",
            ROOT + ".daemon.ownership..",
            ROOT + ".daemon.request..",
            ROOT + ".daemon.placement..",
            ROOT + ".daemon.configuration.."
        };
        forbid(packages("daemon.adapter"), services);
        forbid(packages("daemon.peer"), services);
    }

    @Test
    void settingsAndLogKnowNoOtherPart() {
        String[] parts = packages("daemon.http", "daemon.ownership", "daemon.request", "internal");
        forbid(packages("daemon.settings"), parts);
        forbid(packages("daemon.log"), parts);
    }

    @Test
    void nothingStartsAProcess() {
        // The stand-ins are on the class path of the tests only.
        noClasses()
                .that()
                .resideOutsideOfPackage(ROOT + ".standin..")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(ProcessBuilder.class, Process.class)
                .check(CLASSES);
    }

    private static void forbid(String[] from, String... to) {
        noClasses()
                .that()
                .resideInAnyPackage(from)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(to)
                .check(CLASSES);
    }

    private static String[] packages(String... names) {
        String[] patterns = new String[names.length];
        for (int i = 0; i < names.length; i++) {
            patterns[i] = ROOT + "." + names[i] + "..";
        }
        return patterns;
    }
}
