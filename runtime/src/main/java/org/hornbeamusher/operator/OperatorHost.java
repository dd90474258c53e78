package org.hornbeamusher.operator;

import java.util.Optional;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.status.ProcessStatus;

/** What the operators' interface needs of the process it belongs to. */
public interface OperatorHost {

  /**
   * Returns where documents are kept.
   *
   * @return the store, or empty in a process that takes no submissions
   */
  Optional<DocumentStore> documents();

  /**
   * Finds the partner that a service belongs to.
   *
   * @param service the service
   * @return its partner, or empty when no document of it is held
   */
  Optional<PartnerId> owner(ServiceName service);

  /**
   * Describes the process as it is now, for every partner.
   *
   * @return the status; the interface removes what a reader may not see
   */
  ProcessStatus status();

  /** Makes the process leave: no new work, and an end when the last request has ended. */
  void drain();
}
