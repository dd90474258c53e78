package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.documents.ServiceDocument.AdapterDeclaration;
import org.hornbeamusher.documents.ServiceDocument.ServiceKind;
import org.hornbeamusher.ids.AdapterName;
import org.junit.jupiter.api.Test;

class DocumentDeltaTest {

  @Property(seed = "33", tries = 300)
  void deltaTurnsAnyVersionIntoAnyOther(
      @ForAll @Size(max = 8) Map<@IntRange(max = 9) Integer, @IntRange(min = 1, max = 3) Integer> a,
      @ForAll @Size(max = 8)
          Map<@IntRange(max = 9) Integer, @IntRange(min = 1, max = 3) Integer> b) {
    ServiceDocument older = document(1, a);
    ServiceDocument newer = document(2, b);

    DocumentUpdate sent = new DocumentUpdate.Deltas(List.of(DocumentDelta.between(older, newer)));
    DocumentUpdate.Deltas got =
        (DocumentUpdate.Deltas) DocumentCodec.decodeUpdate(DocumentCodec.encodeUpdate(sent));

    assertEquals(Optional.of(newer), got.deltas().get(0).applyTo(older));
  }

  /**
   * Guards against applying a delta to a version between its two versions, which the sender did not
   * know of. The result would be a document that no operator submitted.
   */
  @Test
  void deltaDoesNotApplyToAnotherVersion() {
    DocumentDelta delta = DocumentDelta.between(document(1, Map.of()), document(3, Map.of(1, 1)));

    assertEquals(Optional.empty(), delta.applyTo(document(2, Map.of())));
  }

  @Test
  void fullDocumentIsSentWhenDeltasHaveGap() {
    LatestDocuments latestDocuments = new LatestDocuments();
    latestDocuments.offer(document(1, Map.of()));
    latestDocuments.offer(document(4, Map.of(1, 1)));

    assertEquals(
        new DocumentUpdate.FullDocument(document(4, Map.of(1, 1))),
        latestDocuments.updateSince(document(1, Map.of()).service(), 2));
  }

  /** The figures in docs/DOCUMENTS.md are based on this ratio. */
  @Test
  void deltaOfOneAdapterIsSmallComparedToTheDocument() {
    ServiceDocument older = read(DocumentTexts.manyAdapters(3_000)).at(1, false);
    ServiceDocument newer = read(DocumentTexts.manyAdapters(3_001)).at(2, false);
    int whole = DocumentCodec.encodeUpdate(new DocumentUpdate.FullDocument(newer)).length;
    DocumentUpdate difference =
        new DocumentUpdate.Deltas(List.of(DocumentDelta.between(older, newer)));

    assertTrue(DocumentCodec.encodeUpdate(difference).length * 20 < whole);
  }

  private static ServiceDocument document(long version, Map<Integer, Integer> adapters) {
    Map<AdapterName, AdapterDeclaration> named = new HashMap<>();
    adapters.forEach(
        (name, current) ->
            named.put(
                new AdapterName("a" + name),
                new AdapterDeclaration(current, List.of(current), "w")));
    ServiceDocument base = read(DocumentTexts.dispatch(7));
    return base.withKind(new ServiceKind.Model("base", named, true, 4, 8)).at(version, false);
  }

  private static ServiceDocument read(String text) {
    return ((DocumentParseResult.Valid) ServiceDocumentReader.read("f", text)).document();
  }
}
