package org.hornbeamusher.documents;

import org.hornbeamusher.ids.ServiceName;

/**
 * One accepted change as the table keeps it: the document's row and the audit row alike.
 *
 * @param service the service
 * @param version the version this change made
 * @param deleted whether it withdrew the service
 * @param author who submitted it; always the owner
 * @param acceptedMillis when it was accepted, by the clock of the entry that wrote it
 * @param submission tells this submission from others with the same text
 * @param text the TOML text; of a deletion, the text that was in force before
 */
public record StoredDocument(
    ServiceName service,
    long version,
    boolean deleted,
    Principal author,
    long acceptedMillis,
    String submission,
    String text) {

  /**
   * Reads the text.
   *
   * @return the document at this version
   * @throws org.hornbeamusher.failure.HornbeamusherException {@code PLATFORM_MALFORMED} when this
   *     release cannot read it, for example because a later release wrote a key it does not know
   */
  public ServiceDocument document() {
    return switch (ServiceDocumentReader.read(service.value(), text)) {
      case DocumentParseResult.Valid valid -> valid.document().at(version, deleted);
      case DocumentParseResult.Invalid invalid ->
          throw DocumentRows.malformed(invalid.problems().toString());
    };
  }
}
