package org.hornbeamusher.scheduling;

import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/** The owner of a share at one level of the share hierarchy. */
sealed interface ShareClass {

  /** The root: the whole endpoint. */
  record Endpoint() implements ShareClass {}

  /** First level. */
  record Partner(PartnerId id) implements ShareClass {}

  /** Second level. */
  record Service(ServiceName name) implements ShareClass {}

  /** Third level. */
  record Caller(CallerId id) implements ShareClass {}
}
