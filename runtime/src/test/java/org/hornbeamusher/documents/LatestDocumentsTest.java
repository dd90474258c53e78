package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.documents.LatestDocuments.OfferResult;
import org.hornbeamusher.ids.ServiceName;
import org.junit.jupiter.api.Test;

class LatestDocumentsTest {

  private static final ServiceName DISPATCH = new ServiceName("lm-dispatch");
  private static final ServiceName OTHER = new ServiceName("valuer-llm");

  private final LatestDocuments latestDocuments = new LatestDocuments();

  /**
   * Guards against a slow peer that sends version 1 after version 2 was received from another one.
   * Version 2 must stay current.
   */
  @Test
  void neverGoesBackToAnOlderVersion() {
    ServiceDocument second = document(2, false);
    latestDocuments.offer(second);

    assertEquals(new OfferResult.Older(2), latestDocuments.offer(document(1, false)));
    assertEquals(Optional.of(second), latestDocuments.current(DISPATCH));
    assertEquals(new OfferResult.Same(), latestDocuments.offer(second));
  }

  /** Guards against a late copy of a deleted document that restores the service. */
  @Test
  void olderVersionDoesNotReplaceTombstone() {
    latestDocuments.offer(document(2, true));
    latestDocuments.offer(document(1, false));

    assertEquals(Optional.empty(), latestDocuments.current(DISPATCH));
    assertEquals(0, latestDocuments.all().size());
    assertEquals(Map.of(DISPATCH, 2L), latestDocuments.digest());
  }

  @Test
  void listsServicesOfWhichPeerHasNewerVersion() {
    latestDocuments.offer(document(2, false));

    assertEquals(Set.of(OTHER), latestDocuments.newerThanHeld(Map.of(DISPATCH, 2L, OTHER, 1L)));
    assertEquals(Set.of(DISPATCH), latestDocuments.newerThanHeld(Map.of(DISPATCH, 3L)));
  }

  @Test
  void hashChangesWithTheVersion() {
    long empty = latestDocuments.digestHash();
    latestDocuments.offer(document(1, false));
    long first = latestDocuments.digestHash();
    latestDocuments.offer(document(2, false));

    assertEquals(0, empty);
    assertNotEquals(first, latestDocuments.digestHash());
  }

  private static ServiceDocument document(long version, boolean deleted) {
    return ((DocumentParseResult.Valid) ServiceDocumentReader.read("f", DocumentTexts.dispatch(7)))
        .document()
        .at(version, deleted);
  }
}
