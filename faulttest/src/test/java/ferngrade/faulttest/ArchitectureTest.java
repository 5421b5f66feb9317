package ferngrade.faulttest;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Dependency rules that the boundaries of the fleet's modules cannot enforce. */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("ferngrade");

  @Test
  void leasePackageUsesNoClockSocketFileOrThread() {
    noClasses()
        .that()
        .resideInAPackage("ferngrade.lease")
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
  void packagesHaveNoCyclicDependencies() {
    slices().matching("ferngrade.(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
