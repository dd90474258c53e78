package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.documents.LatestDocuments.Offered;
import org.hornbeamusher.ids.ServiceName;
import org.junit.jupiter.api.Test;

class DocumentHolderTest {

  private static final ServiceName DISPATCH = new ServiceName("lm-dispatch");
  private static final ServiceName OTHER = new ServiceName("valuer-llm");

  private final LatestDocuments holder = new LatestDocuments();

  /**
   * A slow peer answers with version 1 after version 2 has come from elsewhere. Requests must keep
   * running on version 2.
   */
  @Test
  void neverGoesBackToAnOlderVersion() {
    ServiceDocument second = document(2, false);
    holder.offer(second);

    assertEquals(new Offered.Older(2), holder.offer(document(1, false)));
    assertEquals(Optional.of(second), holder.current(DISPATCH));
    assertEquals(new Offered.Same(), holder.offer(second));
  }

  /** A late copy of a deleted document arrives. The service must stay withdrawn. */
  @Test
  void tombstoneKeepsTheDeletedDocumentOut() {
    holder.offer(document(2, true));
    holder.offer(document(1, false));

    assertEquals(Optional.empty(), holder.current(DISPATCH));
    assertEquals(0, holder.all().size());
    assertEquals(Map.of(DISPATCH, 2L), holder.digest());
  }

  @Test
  void namesWhatPeerHoldsThatIsNewer() {
    holder.offer(document(2, false));

    assertEquals(Set.of(OTHER), holder.newerThanHeld(Map.of(DISPATCH, 2L, OTHER, 1L)));
    assertEquals(Set.of(DISPATCH), holder.newerThanHeld(Map.of(DISPATCH, 3L)));
  }

  @Test
  void hashFollowsTheVersion() {
    long empty = holder.digestHash();
    holder.offer(document(1, false));
    long first = holder.digestHash();
    holder.offer(document(2, false));

    assertEquals(0, empty);
    assertNotEquals(first, holder.digestHash());
  }

  private static ServiceDocument document(long version, boolean deleted) {
    return ((DocumentParseResult.Valid) ServiceDocumentReader.read("f", DocumentTexts.dispatch(7)))
        .document()
        .at(version, deleted);
  }
}
