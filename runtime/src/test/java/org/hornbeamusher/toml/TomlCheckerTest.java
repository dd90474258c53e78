package org.hornbeamusher.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.PartnerId;
import org.junit.jupiter.api.Test;

class TomlCheckerTest {

  /**
   * A file has five problems of different kinds. If only the first were reported, the operator
   * would have to edit and check the file five times.
   */
  @Test
  void reportsEveryProblemWithItsLineAndKey() {
    TomlChecker top =
        TomlDocument.parse(
                "entry.toml",
                """
                hots = "x"
                partner = "Zarqa Sludge"

                [http]
                port = 70000
                host = 3

                [[caller]]
                id = "a"
                """)
            .checker();
    top.value("partner", PartnerId::new);
    top.table("http").integer("port", 0, 65_535);
    top.table("http").string("host");
    top.tables("caller").getFirst().string("id");
    top.tables("caller").getFirst().string("partner");
    HornbeamusherException failure =
        assertThrows(
            HornbeamusherException.class, () -> top.throwIfProblems(FailureType.SETTINGS_INVALID));
    assertEquals(FailureType.SETTINGS_INVALID, failure.type());
    assertEquals(
        List.of(
            "entry.toml:1: hots: unknown-key: no such key here",
            "entry.toml:2: partner: invalid-value: not a PartnerId: \"Zarqa Sludge\"",
            "entry.toml:5: http.port: out-of-range: must be from 0 to 65535, is 70000",
            "entry.toml:6: http.host: wrong-type: must be a text, is a whole number",
            "entry.toml:8: caller[0].partner: missing-key: the key is required"),
        Problems.of(failure).all().stream().map(Problem::toString).toList());
  }

  @Test
  void textThatIsNotTomlGivesOneProblemWithItsLine() {
    TomlChecker top = TomlDocument.parse("a.toml", "x = 1\ny = = 2\n").checker();
    top.string("missing");
    List<Problem> problems = top.problems();
    assertEquals(1, problems.size());
    assertEquals(Problem.Kind.SYNTAX, problems.getFirst().kind());
    assertEquals(2, problems.getFirst().line());
  }

  @Test
  void findsLinesAfterMultiLineValuesQuotedKeysAndInlineTables() {
    TomlDocument document =
        TomlDocument.parse(
            "a.toml",
            """
            text = \"""
            [not.a.table]
            key = 1
            \"""
            list = [ # comment ]
              "a,]",
              'b',
            ]
            [adapters."amman.north"]
            versions = [1, 2]
            inline = { current = 2, deep = { x = 1 } }
            [[caller]]
            id = "one"
            [[caller]]
            id = "two"
            [caller.limits]
            queue = 3
            """);
    assertEquals(5, document.line("list"));
    assertEquals(7, document.line("list[1]"));
    assertEquals(9, document.line("adapters.\"amman.north\""));
    assertEquals(11, document.line("adapters.\"amman.north\".inline.deep.x"));
    assertEquals(13, document.line("caller[0].id"));
    assertEquals(17, document.line("caller[1].limits.queue"));
    assertEquals(14, document.line("caller[1].absent"));
    assertEquals(1, document.line("not.a.table"));
  }

  @Test
  void invalidUserDefinedKeyIsReported() {
    TomlChecker top = TomlDocument.parse("a.toml", "[m]\nGood = {}\n").checker();
    top.table("m").keys().forEach(key -> top.table("m").keyAs(key, PartnerId::new));
    assertEquals(
        List.of("a.toml:2: m.Good: invalid-value: not a PartnerId: \"Good\""),
        top.problems().stream().map(Problem::toString).toList());
  }

  /** Guards against a stack overflow on deeply nested brackets in a submitted text. */
  @Test
  void deepNestingIsReportedAsSyntaxProblem() {
    TomlDocument document = TomlDocument.parse("a.toml", "x = " + "[".repeat(100_000));
    assertTrue(document.fatalProblem().isPresent());
  }

  @Property(seed = "20321202", tries = 500)
  void anyTextIsReadWithoutAnException(@ForAll String text) {
    TomlDocument.parse("a.toml", text).checker().problems();
    LineIndex.of(text);
  }
}
