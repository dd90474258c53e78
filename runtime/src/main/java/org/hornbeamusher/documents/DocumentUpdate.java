package org.hornbeamusher.documents;

import java.util.List;

/** Response of a peer to a request for a newer version of one document. */
public sealed interface DocumentUpdate {

  /** The peer has no newer version. */
  record NoUpdate() implements DocumentUpdate {}

  /**
   * The full document at the version of the peer.
   *
   * @param document the document or its tombstone
   */
  record FullDocument(ServiceDocument document) implements DocumentUpdate {}

  /**
   * The deltas from the version of the requesting process, each based on the result of the
   * previous.
   *
   * @param deltas at least one delta
   */
  record Deltas(List<DocumentDelta> deltas) implements DocumentUpdate {

    /** Copies the list. */
    public Deltas {
      deltas = List.copyOf(deltas);
    }
  }
}
