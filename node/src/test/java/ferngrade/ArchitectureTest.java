package ferngrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks dependency rules between packages of one module, which module boundaries cannot enforce.
 */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("ferngrade");

  /** The packages that implement one protocol each; only the composition root may combine them. */
  private static final List<String> PROTOCOLS =
      List.of("ferngrade.http..", "ferngrade.discovery..", "ferngrade.peer..");

  @Test
  void dispatchPackageUsesNoClockSocketFileOrThread() {
    noClasses()
        .that()
        .resideInAPackage("ferngrade.dispatch")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..",
            "java.nio.channels..",
            "java.nio.file..",
            "java.io..",
            "java.time..",
            "java.util.concurrent..",
            "io.netty..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  @Test
  void nodePackageDependsOnNoProtocol() {
    noClasses()
        .that()
        .resideInAPackage("ferngrade.node")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "com.eclipsesource..",
            "ferngrade.transport..",
            "ferngrade.peer..",
            "ferngrade.discovery..",
            "ferngrade.http..",
            "ferngrade.server..",
            "ferngrade.config..",
            "ferngrade.simulator..",
            "ferngrade.cli..")
        .check(CLASSES);
  }

  @Test
  void protocolsDependNeitherOnEachOtherNorOnTheCompositionRoot() {
    for (String protocol : PROTOCOLS) {
      noClasses()
          .that()
          .resideInAPackage(protocol)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              Stream.concat(
                      PROTOCOLS.stream().filter(other -> !other.equals(protocol)),
                      Stream.of("ferngrade.server..", "ferngrade.cli.."))
                  .toArray(String[]::new))
          .check(CLASSES);
    }
  }

  @Test
  void packagesHaveNoCyclicDependencies() {
    slices().matching("ferngrade.(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
