package org.hornbeamusher.operator;

import java.util.Optional;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.status.ProcessStatus;

/** The functions of the process that the operators' API uses. */
public interface OperatorHost {

  /**
   * Returns the store of service documents.
   *
   * @return the store, or empty in a process that accepts no submissions
   */
  Optional<DocumentStore> documents();

  /**
   * Finds the partner that a service belongs to.
   *
   * @param service the service
   * @return its partner, or empty when this process has no document of it
   */
  Optional<PartnerId> owner(ServiceName service);

  /**
   * Returns the current status of the process, with the data of every partner.
   *
   * @return the status; the API removes what an operator may not see
   */
  ProcessStatus status();

  /**
   * Starts a drain: the process accepts no new requests and exits when the last request has ended.
   */
  void drain();
}
