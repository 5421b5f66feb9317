package ferngrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** What the boundary of a module cannot hold. */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("ferngrade");

  @Test
  void decisionsReadNoClockAndTouchNoSocketFileOrThread() {
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
  void nodeKnowsNoProtocol() {
    noClasses()
        .that()
        .resideInAPackage("ferngrade.node")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "com.eclipsesource..",
            "ferngrade.net..",
            "ferngrade.config..",
            "ferngrade.wire..",
            "ferngrade.cli..")
        .check(CLASSES);
  }

  @Test
  void packagesFormNoCircle() {
    slices().matching("ferngrade.(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
