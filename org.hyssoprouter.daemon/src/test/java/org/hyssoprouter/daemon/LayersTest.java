package org.hyssoprouter.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks the dependency rules between the layers listed in docs/ARCHITECTURE.md. */
class LayersTest {
    private static final String ROOT = "org.hyssoprouter";
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages(ROOT);

    @Test
    void valueTypesDependOnNoOtherLayer() {
        assertNoDependency(packages("lib"), packages("transport", "internal", "daemon"));
        assertNoDependency(packages("errors"), packages("transport", "internal", "daemon"));
        assertNoDependency(packages("util"), packages("transport", "internal", "daemon"));
    }

    @Test
    void portsDoNotDependOnDecisionsNorDecisionsOnAdapters() {
        assertNoDependency(packages("transport"), packages("internal", "daemon"));
        assertNoDependency(packages("internal"), packages("daemon"));
        assertNoDependency(
                packages("internal"),
                "okhttp3..",
                "io.jooby..",
                "io.netty..",
                "java.net..",
                "io.micrometer..");
    }

    @Test
    void decisionsDoNotReadTheSystemClock() {
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
    void adaptersAndPeerLinkDependOnPortsOnly() {
        String[] services = {
            ROOT + ".internal..",
            ROOT + ".daemon.http..",
            ROOT + ".daemon.ownership..",
            ROOT + ".daemon.request..",
            ROOT + ".daemon.placement..",
            ROOT + ".daemon.configuration.."
        };
        assertNoDependency(packages("daemon.adapter"), services);
        assertNoDependency(packages("daemon.peer"), services);
    }

    @Test
    void settingsAndLogDoNotDependOnServices() {
        String[] parts = packages("daemon.http", "daemon.ownership", "daemon.request", "internal");
        assertNoDependency(packages("daemon.settings"), parts);
        assertNoDependency(packages("daemon.log"), parts);
    }

    @Test
    void mainCodeDoesNotStartProcesses() {
        // The stand-ins, which start processes, are on the class path of the tests only.
        noClasses()
                .that()
                .resideOutsideOfPackage(ROOT + ".standin..")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(ProcessBuilder.class, Process.class)
                .check(CLASSES);
    }

    private static void assertNoDependency(String[] from, String... to) {
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
