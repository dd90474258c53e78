package org.hornbeamusher.documents;

import org.hornbeamusher.toml.Problems;

/** Result of reading a service document. */
public sealed interface DocumentParseResult {

  /**
   * The document is valid.
   *
   * @param document the document at version 0; it gets its version when it is accepted
   */
  record Valid(ServiceDocument document) implements DocumentParseResult {}

  /**
   * The document is invalid; no part of it is accepted.
   *
   * @param problems all problems, ordered by line; never empty
   */
  record Invalid(Problems problems) implements DocumentParseResult {}
}
