package org.hornbeamusher.documents;

import java.util.List;

/** What a peer sends to a process that asked for a newer version of one document. */
public sealed interface DocumentUpdate {

  /** The peer holds nothing newer. */
  record NoUpdate() implements DocumentUpdate {}

  /**
   * The document at the version the peer holds.
   *
   * @param document perhaps a tombstone
   */
  record FullDocument(ServiceDocument document) implements DocumentUpdate {}

  /**
   * The differences from the version the process holds, each based on the one before.
   *
   * @param deltas at least one
   */
  record Deltas(List<DocumentDelta> deltas) implements DocumentUpdate {

    /** Copies the list. */
    public Deltas {
      deltas = List.copyOf(deltas);
    }
  }
}
