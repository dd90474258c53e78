package org.hornbeamusher.security;

import java.util.Set;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;

/** The identity that a token or a certificate belongs to; its type is the role. */
public sealed interface Identity {

  /**
   * A caller: sends requests to services of its own partner.
   *
   * @param id the caller
   * @param partner the partner it belongs to
   * @param services the services it may call; empty means every service of its partner
   */
  record Caller(CallerId id, PartnerId partner, Set<ServiceName> services) implements Identity {

    /** Copies the set. */
    public Caller {
      services = Set.copyOf(services);
    }

    /**
     * Tells whether the caller may send requests to a service.
     *
     * @param service the service
     * @param owner the partner that the service belongs to
     * @return whether it may
     */
    public boolean mayCall(ServiceName service, PartnerId owner) {
      return partner.equals(owner) && (services.isEmpty() || services.contains(service));
    }
  }

  /**
   * An operator: changes documents of its own team and reads those of its own partner.
   *
   * @param id the operator
   * @param partner the partner it belongs to
   * @param team the team it belongs to
   * @param mayDrain whether it may drain the process whose settings contain the token
   */
  record Operator(OperatorId id, PartnerId partner, TeamId team, boolean mayDrain)
      implements Identity {}

  /**
   * Another process of the system.
   *
   * @param id its name in its certificate
   */
  record Instance(InstanceId id) implements Identity {}
}
