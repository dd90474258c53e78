package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.hornbeamusher.documents.ServiceDocument.AdapterDeclaration;
import org.hornbeamusher.documents.ServiceDocument.CallPattern;
import org.hornbeamusher.documents.ServiceDocument.ServiceKind;
import org.hornbeamusher.documents.ServiceDocument.ServiceLimits;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.toml.Problem;
import org.junit.jupiter.api.Test;

class ServiceDocumentReaderTest {

  @Test
  void readsModelWithAdapters() {
    ServiceDocument document = valid(DocumentTexts.dispatch(7));

    ServiceKind.Model model = assertInstanceOf(ServiceKind.Model.class, document.kind());
    assertEquals(
        new AdapterDeclaration(2, List.of(1, 2), "lora/lm-dispatch/roster-0001/{version}"),
        model.adapters().get(new AdapterName("roster-0001")));
    assertEquals(
        "elsewhere/{version}",
        model.adapters().get(new AdapterName("roster-0002")).weightsLocation());
    assertEquals(new ServiceLimits(1, 7, 10_000, 60_000, 4_096), document.limits());
    assertEquals(0, document.version());
  }

  @Test
  void readsPlainService() {
    ServiceDocument document =
        valid(
            """
            service = "haul-api"
            partner = "zarqa"
            team = "plant"
            pool = "haul"
            [plain]
            concurrency = 4
            non_repeatable = [
              { method = "POST", path = "/bookings" },
            ]
            """);

    ServiceKind.Plain plain = assertInstanceOf(ServiceKind.Plain.class, document.kind());
    assertEquals(List.of(new CallPattern("POST", "/bookings")), plain.nonRepeatable());
  }

  @Test
  void readsThreeThousandAdapters() {
    ServiceDocument document = valid(DocumentTexts.manyAdapters(3_000));

    assertEquals(3_002, ((ServiceKind.Model) document.kind()).adapters().size());
  }

  @Test
  void reportsEveryProblemAtOnceWithLineAndKey() {
    String problems =
        invalid(
            """
            service = "LM"
            partner = 7
            pool = "p"
            color = "red"

            [model]
            base_model = "base"
            slots = 0
            batch = "many"
            weights = "x/{version}"

            [limits]
            queue = 1.5
            default_deadline_ms = 9000
            maximum_deadline_ms = 1000

            [adapters]
            "a" = { current = 3, versions = [1, 1] }
            "B" = { versions = [1], wieghts = "y" }
            """);

    assertEquals(
        """
        f.toml:1: service: invalid-value: not a ServiceName: "LM"
        f.toml:1: team: missing-key: the key is required
        f.toml:2: partner: wrong-type: must be a text, is a whole number
        f.toml:4: color: unknown-key: no such key here
        f.toml:8: model.slots: out-of-range: must be from 1 to 4096, is 0
        f.toml:9: model.batch: wrong-type: must be a whole number, is a text
        f.toml:13: limits.queue: wrong-type: must be a whole number, is a number
        f.toml:14: limits.default_deadline_ms: invalid-value: must not be longer than \
        maximum_deadline_ms
        f.toml:18: adapters.a.current: invalid-value: must be among versions
        f.toml:18: adapters.a.versions: invalid-value: must not name a version twice
        f.toml:19: adapters.B: invalid-value: not a AdapterName: "B"
        f.toml:19: adapters.B.current: missing-key: the key is required
        f.toml:19: adapters.B.wieghts: unknown-key: no such key here\
        """,
        problems);
  }

  @Test
  void reportsLineOfTextThatIsNotToml() {
    DocumentParseResult reading =
        ServiceDocumentReader.read("f.toml", "service = \"a\"\nteam = = 1\n");

    DocumentParseResult.Invalid invalid =
        assertInstanceOf(DocumentParseResult.Invalid.class, reading);
    assertEquals(1, invalid.problems().all().size());
    assertEquals(2, invalid.problems().all().get(0).line());
  }

  @Test
  void refusesDocumentThatIsNeitherModelNorPlain() {
    String text = "service = \"a\"\npartner = \"p\"\nteam = \"t\"\npool = \"x\"\n";

    assertEquals(
        "f.toml:1: model: invalid-value: exactly one of the tables [model] and [plain] is required",
        invalid(text));
  }

  private static ServiceDocument valid(String text) {
    return assertInstanceOf(
            DocumentParseResult.Valid.class, ServiceDocumentReader.read("f.toml", text))
        .document();
  }

  private static String invalid(String text) {
    DocumentParseResult.Invalid invalid =
        assertInstanceOf(
            DocumentParseResult.Invalid.class, ServiceDocumentReader.read("f.toml", text));
    return String.join("\n", invalid.problems().all().stream().map(Problem::toString).toList());
  }
}
