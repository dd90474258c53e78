package org.hornbeamusher.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.methods;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethod;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Checks the dependency rules of docs/ARCHITECTURE.md. */
class ArchitectureTest {

  private static final String ROOT = "org.hornbeamusher.";

  /** Packages whose classes use no network, no threads and no clock of their own. */
  private static final String[] DECISION_PACKAGES = {
    ROOT + "routing..",
    ROOT + "scheduling..",
    ROOT + "admission..",
    ROOT + "retry..",
    ROOT + "quarantine..",
    ROOT + "pacing..",
    ROOT + "membership..",
    ROOT + "responses..",
    ROOT + "placement..",
    ROOT + "holdings..",
    ROOT + "ratelimit..",
    ROOT + "shares..",
    ROOT + "forecast..",
    ROOT + "routes.."
  };

  private static final String[] IO_PACKAGES = {
    "java.net..",
    "java.nio.channels..",
    "java.util.concurrent.locks..",
    "javax.net..",
    "io.undertow..",
    "org.xnio..",
    ROOT + "http..",
    ROOT + "wire..",
    ROOT + "table.."
  };

  /** Packages that all others may use and that depend on none of the others. */
  private static final String[] FOUNDATION_PACKAGES = {
    ROOT + "ids..", ROOT + "clock..", ROOT + "failure.."
  };

  private static final JavaClasses MAIN =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.hornbeamusher");

  private static final JavaClasses TESTS =
      new ClassFileImporter().importPath(Path.of("target", "test-classes"));

  @Test
  void packagesFormNoCycle() {
    slices().matching(ROOT + "(*)..").should().beFreeOfCycles().check(MAIN);
  }

  @Test
  void decisionsUseNeitherNetworkNorThreads() {
    noClasses()
        .that()
        .resideInAnyPackage(DECISION_PACKAGES)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(IO_PACKAGES)
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(java.util.concurrent.Executor.class)
        .check(MAIN);
  }

  /** In these packages only the classes with such names are pure; the others call the table. */
  @Test
  void documentAndClaimDecisionsUseNeitherNetworkNorThreads() {
    noClasses()
        .that()
        .resideInAnyPackage(ROOT + "documents..", ROOT + "claims..")
        .and()
        .haveNameMatching(".*(Decision|Plan|Delta|Budget|Ledger)(\\$.*)?")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net..", "io.undertow..", ROOT + "http..", ROOT + "wire..")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(java.util.concurrent.Executor.class)
        .check(MAIN);
  }

  @Test
  void foundationUsesNothingAboveIt() {
    classes()
        .that()
        .resideInAnyPackage(FOUNDATION_PACKAGES)
        .should()
        .onlyDependOnClassesThat(
            DescribedPredicate.describe(
                "are the foundation's or no part of the project",
                type ->
                    !type.getPackageName().startsWith("org.hornbeamusher")
                        || JavaClass.Predicates.resideInAnyPackage(FOUNDATION_PACKAGES).test(type)))
        .check(MAIN);
  }

  /** No package may depend on a daemon, so that each can be tested without one. */
  @Test
  void slicesDoNotKnowTheDaemons() {
    noClasses()
        .that()
        .resideOutsideOfPackages(ROOT + "entry..", ROOT + "agent..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(ROOT + "entry..", ROOT + "agent..")
        .check(MAIN);
  }

  @Test
  void entryAndAgentMeetOnlyThroughMessages() {
    noClasses()
        .that()
        .resideInAPackage(ROOT + "entry..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT + "agent..")
        .check(MAIN);
    noClasses()
        .that()
        .resideInAPackage(ROOT + "agent..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT + "entry..")
        .check(MAIN);
  }

  /** Only the module {@code platform} may contain names of the protocol of the users' platform. */
  @Test
  void runtimeSourcesDoNotNameTheUsersPlatform() throws IOException {
    Pattern names =
        Pattern.compile("(?i)x-attempt-id|x-time-budget|x-expect-instance|rows-|/-/|x-not-exec");
    try (Stream<Path> sources = Files.walk(Path.of("src", "main", "java"))) {
      List<Path> knowing =
          sources
              .filter(path -> path.toString().endsWith(".java"))
              .filter(path -> names.matcher(text(path)).find())
              .toList();
      assertEquals(List.of(), knowing);
    }
  }

  private static String text(Path path) {
    try {
      return Files.readString(path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Tests cannot set any other time source than the clock and would have to sleep. */
  @Test
  void timeComesFromTheClockOnly() {
    noClasses()
        .that()
        .resideOutsideOfPackage(ROOT + "clock..")
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(java.time.Instant.class, "now")
        .check(MAIN);
  }

  @Test
  void accessorsHaveNoGetPrefix() {
    methods()
        .that()
        .areDeclaredInClassesThat()
        .resideInAPackage("org.hornbeamusher..")
        .should(notBeNamedGet())
        .check(MAIN);
  }

  /** Without a fixed seed a property could fail on one machine and pass on another. */
  @Test
  void everyPropertyHasFixedSeed() {
    methods()
        .that()
        .areAnnotatedWith(Property.class)
        .should(haveSeed())
        .allowEmptyShould(true)
        .check(TESTS);
    assertFalse(TESTS.isEmpty());
  }

  private static ArchCondition<JavaMethod> notBeNamedGet() {
    return new ArchCondition<>("not be named get...") {
      @Override
      public void check(JavaMethod method, ConditionEvents events) {
        if (method.getName().matches("get[A-Z].*") && !implementsLibrary(method)) {
          events.add(SimpleConditionEvent.violated(method, method.getFullName()));
        }
      }
    };
  }

  private static boolean implementsLibrary(JavaMethod method) {
    JavaClass owner = method.getOwner();
    return java.util.stream.Stream.concat(
            owner.getAllRawSuperclasses().stream(), owner.getAllRawInterfaces().stream())
        .filter(type -> !type.getPackageName().startsWith("org.hornbeamusher"))
        .flatMap(type -> type.getMethods().stream())
        .anyMatch(other -> other.getName().equals(method.getName()));
  }

  private static ArchCondition<JavaMethod> haveSeed() {
    return new ArchCondition<>("have a fixed seed") {
      @Override
      public void check(JavaMethod method, ConditionEvents events) {
        if (method.getAnnotationOfType(Property.class).seed().isEmpty()) {
          events.add(SimpleConditionEvent.violated(method, method.getFullName()));
        }
      }
    };
  }
}
