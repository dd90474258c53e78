package org.hornbeamusher.documents;

import org.hornbeamusher.ids.ServiceName;

/**
 * A requested change of a document.
 *
 * @param change the change
 * @param baseVersion the version it was based on; 0 for a service without a document
 * @param author the author that the operator's token identifies
 * @param token unique token by which the submission recognises its own write
 */
record Submission(Change change, long baseVersion, Principal author, String token) {

  /** Change of the document of a service. */
  sealed interface Change {

    ServiceName service();

    /** Replaces the document. */
    record Replace(ServiceDocument document, String text) implements Change {
      @Override
      public ServiceName service() {
        return document.service();
      }
    }

    /** Withdraws the service. */
    record Delete(ServiceName service) implements Change {}
  }
}
