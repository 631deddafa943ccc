package cottonlock;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import cottonlock.core.Deterministic;
import net.jqwik.api.Example;

/**
 * Allowed dependencies: decisions do no input or output, and packages depend on lower layers only.
 */
class ArchitectureTest {
    private final JavaClasses productionClasses =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("cottonlock");

    @Example
    void decisionsUseNoInputOutputClocksThreadsOrLoggers() {
        String[] forbiddenPackages = {
            "java.net..",
            "java.nio",
            "java.nio.channels..",
            "java.nio.file..",
            "java.io..",
            "java.util.concurrent..",
            "java.util.logging..",
            "java.lang.management..",
            "sun..",
            "com..",
            "org..",
            "picocli.."
        };
        noClasses()
                .that()
                .areAnnotatedWith(Deterministic.class)
                .or()
                .resideInAnyPackage("cottonlock.decision..", "cottonlock.core")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(forbiddenPackages)
                .because("decisions do no input or output")
                .allowEmptyShould(false)
                .check(productionClasses);
        noClasses()
                .that()
                .areAnnotatedWith(Deterministic.class)
                .or()
                .resideInAnyPackage("cottonlock.decision..", "cottonlock.core")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(
                        Thread.class,
                        ThreadLocal.class,
                        System.Logger.class,
                        java.util.Random.class,
                        java.time.Clock.class,
                        java.time.Instant.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .because("time and randomness are arguments")
                .check(productionClasses);
        classes()
                .that()
                .resideInAnyPackage("cottonlock.decision..", "cottonlock.core")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "cottonlock.decision..",
                        "cottonlock.core",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.nio.charset")
                .because("the load balancer uses only the core classes of the JDK")
                .check(productionClasses);
    }

    @Example
    void packagesDependOnLowerLayersOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("main")
                .definedBy("cottonlock")
                .layer("cli")
                .definedBy("cottonlock.cli")
                .layer("lab")
                .definedBy("cottonlock.lab..")
                .layer("simulator")
                .definedBy("cottonlock.simulator")
                .layer("proxy")
                .definedBy("cottonlock.proxy..")
                .layer("config")
                .definedBy("cottonlock.config")
                .layer("admin")
                .definedBy("cottonlock.admin")
                .layer("membership")
                .definedBy("cottonlock.membership")
                .layer("rollout")
                .definedBy("cottonlock.rollout")
                .layer("setup")
                .definedBy("cottonlock.setup")
                .layer("decision")
                .definedBy("cottonlock.decision..")
                .whereLayer("main")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cli")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("lab")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("simulator")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("proxy")
                .mayOnlyBeAccessedByLayers("main", "lab")
                .whereLayer("admin")
                .mayOnlyBeAccessedByLayers("proxy")
                .whereLayer("config")
                .mayOnlyBeAccessedByLayers("cli", "lab")
                .whereLayer("membership")
                .mayOnlyBeAccessedByLayers("proxy", "lab")
                .whereLayer("rollout")
                .mayOnlyBeAccessedByLayers("proxy", "lab")
                .whereLayer("setup")
                .mayOnlyBeAccessedByLayers(
                        "main",
                        "simulator",
                        "proxy",
                        "cli",
                        "lab",
                        "config",
                        "membership",
                        "rollout")
                .check(productionClasses);
        slices().matching("cottonlock.(*)..").should().beFreeOfCycles().check(productionClasses);
    }

    @Example
    void serveAndWirehostUseNoLibrary() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "cottonlock.proxy..",
                        "cottonlock.admin",
                        "cottonlock.membership",
                        "cottonlock.rollout",
                        "cottonlock.setup",
                        "cottonlock.simulator",
                        "cottonlock.decision..",
                        "cottonlock.core")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("com..", "org..", "picocli..")
                .because("serve and wirehost load no library")
                .check(productionClasses);
    }
}
