package ferngrade.experiment;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.AccessTarget;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Calendar;
import java.util.Date;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks architecture rules for all modules; this module depends on all of them. */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("ferngrade");

  /** The JDK methods that read the wall clock, as calls and as method references. */
  private static final DescribedPredicate<JavaAccess<?>> READS_THE_WALL_CLOCK =
      DescribedPredicate.describe(
          "read the wall clock",
          access -> {
            AccessTarget target = access.getTarget();
            String owner = target.getOwner().getName();
            return switch (target.getName()) {
              case "currentTimeMillis" -> true;
              case "now" -> owner.startsWith("java.time.");
              case "<init>" ->
                  owner.equals(Date.class.getName()) && target.getFullName().endsWith("()");
              case "getInstance" -> owner.equals(Calendar.class.getName());
              default ->
                  owner.equals(java.time.Clock.class.getName())
                      && (target.getName().startsWith("system")
                          || target.getName().startsWith("tick"));
            };
          });

  /** The functions whose results {@link Math} leaves to the processor within an error bound. */
  private static final Set<String> APPROXIMATED_FUNCTIONS =
      Set.of(
          "sin", "cos", "tan", "asin", "acos", "atan", "atan2", "sinh", "cosh", "tanh", "exp",
          "expm1", "log", "log10", "log1p", "pow", "cbrt", "hypot");

  /** The approximated functions of {@link Math}, as calls and as method references. */
  private static final DescribedPredicate<JavaAccess<?>> DEPENDS_ON_THE_PROCESSOR =
      DescribedPredicate.describe(
          "depend on the processor",
          access ->
              access.getTarget().getOwner().isEquivalentTo(Math.class)
                  && APPROXIMATED_FUNCTIONS.contains(access.getTarget().getName()));

  @Test
  void dispatcherAndEmulatorUseNoFunctionThatDependsOnTheProcessor() {
    noClasses()
        .that()
        .resideInAnyPackage("ferngrade.dispatch..", "ferngrade.emulator..")
        .should()
        .accessTargetWhere(DEPENDS_ON_THE_PROCESSOR)
        .check(CLASSES);
  }

  @Test
  void onlyOneClassReadsTheWallClock() {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName("ferngrade.node.SystemClock")
        .should()
        .accessTargetWhere(READS_THE_WALL_CLOCK)
        .check(CLASSES);
  }
}
