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
 * What a team declares about one service, at one version.
 *
 * @param service the service
 * @param partner the partner it belongs to; never changes
 * @param team the team that owns it; never changes
 * @param version counts the accepted documents of this service, from 1
 * @param deleted whether this version withdraws the service
 * @param pool the endpoints that run its requests
 * @param kind what its endpoints are
 * @param weights how its requests trade the two measures
 * @param limits its bounds
 * @param callerWeights each caller's part of the service's share; callers not named have 1
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
   * @param newKind what runs its requests
   * @return a copy
   */
  ServiceDocument withKind(ServiceKind newKind) {
    return new ServiceDocument(
        service, partner, team, version, deleted, pool, newKind, weights, limits, callerWeights);
  }

  /** What runs a service's requests. */
  public sealed interface ServiceKind {

    /**
     * Model engines that hold adapters.
     *
     * @param baseModel the base model's name as the engine knows it
     * @param adapters every adapter by name
     * @param fencing whether the engines refuse orders with an old fencing number
     * @param adapterSlots how many adapters an engine holds at once
     * @param batch how many requests an engine runs at once
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
     * @param concurrency how many calls one endpoint runs at once
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
   * @param current the version a request gets that names none
   * @param versions every version that may be named
   * @param weightsLocation where the weight store keeps it; {@code {version}} is replaced
   */
  public record AdapterDeclaration(int current, List<Integer> versions, String weightsLocation) {

    /** Copies the list. */
    public AdapterDeclaration {
      versions = List.copyOf(versions);
    }
  }

  /**
   * Matches calls of a plain service.
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
   * Bounds of a service.
   *
   * @param share the service's part of its partner's share, from 1
   * @param maxQueueLength most requests that wait at one endpoint
   * @param defaultDeadlineMillis the deadline of a request that names none
   * @param maximumDeadlineMillis the longest deadline a request may name
   * @param maximumTokens most tokens a request may ask for
   */
  public record ServiceLimits(
      int share,
      int maxQueueLength,
      long defaultDeadlineMillis,
      long maximumDeadlineMillis,
      int maximumTokens) {}
}
