package org.hornbeamusher.documents;

import java.util.List;
import java.util.Map;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;

/**
 * A team's declaration of one service, at one version.
 *
 * @param service the service
 * @param partner the partner it belongs to; never changes
 * @param team the team that owns it; never changes
 * @param version number of the accepted document of this service, from 1
 * @param deleted whether this version withdraws the service
 * @param pool the pool of endpoints that run its requests
 * @param kind the kind of its endpoints
 * @param weights how its requests trade load stalls against batch efficiency
 * @param limits its limits
 * @param callerWeights each caller's weight within the service's share; callers not listed have 1
 */
public record ServiceDocument(
    ServiceName service,
    PartnerId partner,
    TeamId team,
    long version,
    boolean deleted,
    PoolName pool,
    ServiceKind kind,
    CostWeights weights,
    ServiceLimits limits,
    Map<CallerId, Integer> callerWeights) {

  /** Copies the map. */
  public ServiceDocument {
    callerWeights = Map.copyOf(callerWeights);
  }

  /**
   * Returns this declaration as another version.
   *
   * @param newVersion its number
   * @param newDeleted whether that version withdraws the service
   * @return a copy
   */
  public ServiceDocument at(long newVersion, boolean newDeleted) {
    return new ServiceDocument(
        service, partner, team, newVersion, newDeleted, pool, kind, weights, limits, callerWeights);
  }

  /**
   * Returns this declaration with another kind.
   *
   * @param newKind the kind of its endpoints
   * @return a copy
   */
  ServiceDocument withKind(ServiceKind newKind) {
    return new ServiceDocument(
        service, partner, team, version, deleted, pool, newKind, weights, limits, callerWeights);
  }

  /** Kind of the endpoints that run a service's requests. */
  public sealed interface ServiceKind {

    /**
     * Model engines that load adapters.
     *
     * @param baseModel the base model's name as the engine knows it
     * @param adapters every adapter by name
     * @param fencing whether the engines refuse orders with an old fencing number
     * @param adapterSlots maximum number of adapters that are resident in an engine at once
     * @param batch maximum number of requests that an engine runs at once
     */
    record Model(
        String baseModel,
        Map<AdapterName, AdapterDeclaration> adapters,
        boolean fencing,
        int adapterSlots,
        int batch)
        implements ServiceKind {

      /** Copies the map. */
      public Model {
        adapters = Map.copyOf(adapters);
      }
    }

    /**
     * A plain HTTP service.
     *
     * @param nonRepeatable calls that must run at most once
     * @param concurrency maximum number of calls that one endpoint runs at once
     */
    record Plain(List<CallPattern> nonRepeatable, int concurrency) implements ServiceKind {

      /** Copies the list. */
      public Plain {
        nonRepeatable = List.copyOf(nonRepeatable);
      }
    }
  }

  /**
   * One adapter.
   *
   * @param current the version for requests that do not name one
   * @param versions all versions that requests may name
   * @param weightsLocation its location in the weight store; {@code {version}} is replaced
   */
  public record AdapterDeclaration(int current, List<Integer> versions, String weightsLocation) {

    /** Copies the list. */
    public AdapterDeclaration {
      versions = List.copyOf(versions);
    }
  }

  /**
   * Pattern that matches calls of a plain service.
   *
   * @param method the HTTP method
   * @param pathPrefix the beginning of the path below the service's own prefix
   */
  public record CallPattern(String method, String pathPrefix) {}

  /**
   * How a service trades load stalls against batch efficiency.
   *
   * @param loadStall weight of a millisecond spent waiting for a load; 0 to 100
   * @param batchEfficiency weight of filling batches; 0 to 100
   */
  public record CostWeights(double loadStall, double batchEfficiency) {}

  /**
   * Limits of a service.
   *
   * @param share the service's weight within its partner's share, from 1
   * @param maxQueueLength maximum number of requests that wait at one endpoint
   * @param defaultDeadlineMillis the deadline of a request that does not state one
   * @param maximumDeadlineMillis the longest deadline that a request may state
   * @param maximumTokens maximum number of tokens that a request may ask for
   */
  public record ServiceLimits(
      int share,
      int maxQueueLength,
      long defaultDeadlineMillis,
      long maximumDeadlineMillis,
      int maximumTokens) {}
}
