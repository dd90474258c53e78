package org.hornbeamusher.scheduling;

import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;

/** Who a share belongs to, at one level of the hierarchy. */
sealed interface ShareClass {

  /** The whole endpoint. */
  record Endpoint() implements ShareClass {}

  /** The first level. */
  record Partner(PartnerId id) implements ShareClass {}

  /** The second level. */
  record Service(ServiceName name) implements ShareClass {}

  /** The third level. */
  record Caller(CallerId id) implements ShareClass {}
}
