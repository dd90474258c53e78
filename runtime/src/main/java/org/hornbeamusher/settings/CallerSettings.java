package org.hornbeamusher.settings;

import java.util.Set;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.security.TokenHash;

/**
 * A caller that may send requests.
 *
 * @param id the caller
 * @param partner the partner it belongs to
 * @param token the hash of its token
 * @param services services that it may call; empty for all services of its partner
 */
public record CallerSettings(
    CallerId id, PartnerId partner, TokenHash token, Set<ServiceName> services) {

  /** Copies the set. */
  public CallerSettings {
    services = Set.copyOf(services);
  }
}
