package org.hornbeamusher.status;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;

/**
 * The status of one process at one moment.
 *
 * @param instance the process
 * @param role {@code entry} or {@code agent}
 * @param zone the availability zone in which it runs
 * @param leaving whether it is leaving and accepts no new requests
 * @param inFlight requests that were admitted and have not ended
 * @param endpoints the endpoints it knows
 * @param services the services it knows
 * @param quarantined requests that are refused because endpoints crashed while running them
 */
public record ProcessStatus(
    InstanceId instance,
    String role,
    AvailabilityZone zone,
    boolean leaving,
    int inFlight,
    List<EndpointStatus> endpoints,
    List<ServiceStatus> services,
    List<QuarantinedRequest> quarantined) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Copies the lists. */
  public ProcessStatus {
    endpoints = List.copyOf(endpoints);
    services = List.copyOf(services);
    quarantined = List.copyOf(quarantined);
  }

  /**
   * One endpoint as this process knows it.
   *
   * @param id the endpoint
   * @param zone its availability zone
   * @param pool its pool
   * @param reachable whether requests are sent to it
   * @param running requests in its batch
   * @param batchCapacity greatest number of requests that it runs at once
   * @param queued requests that are queued at its agent
   * @param adapterCapacity greatest number of adapters in its engine's memory
   * @param resident the adapters in its engine's memory
   */
  public record EndpointStatus(
      EndpointId id,
      AvailabilityZone zone,
      PoolName pool,
      boolean reachable,
      int running,
      int batchCapacity,
      int queued,
      int adapterCapacity,
      List<AdapterRef> resident) {

    /** Copies the list. */
    public EndpointStatus {
      resident = List.copyOf(resident);
    }
  }

  /**
   * One service.
   *
   * @param name the service
   * @param partner the partner it belongs to
   * @param version the version of its current document in this process
   * @param answered requests with a complete response since the process started
   * @param refused requests refused or failed since then, by type
   */
  public record ServiceStatus(
      ServiceName name,
      PartnerId partner,
      long version,
      long answered,
      Map<FailureType, Long> refused) {

    /** Copies the map. */
    public ServiceStatus {
      refused = Map.copyOf(refused);
    }
  }

  /**
   * One request that is refused during its quarantine.
   *
   * @param service the service it was sent to
   * @param fingerprint the hash that identifies it
   * @param untilMillis when the quarantine ends, in milliseconds since the epoch
   */
  public record QuarantinedRequest(ServiceName service, String fingerprint, long untilMillis) {}

  /**
   * Returns a copy without the services, adapters and quarantined requests of other partners.
   * Counts of an endpoint remain, because a shared endpoint that is full affects every partner on
   * it.
   *
   * @param partner the reader's partner
   * @return a copy
   */
  public ProcessStatus visibleTo(PartnerId partner) {
    List<ServiceStatus> own = services.stream().filter(s -> s.partner().equals(partner)).toList();
    Set<ServiceName> names = own.stream().map(ServiceStatus::name).collect(Collectors.toSet());
    List<EndpointStatus> seen =
        endpoints.stream().map(endpoint -> onlyServices(endpoint, names)).toList();
    List<QuarantinedRequest> refused =
        quarantined.stream().filter(q -> names.contains(q.service())).toList();
    return new ProcessStatus(instance, role, zone, leaving, inFlight, seen, own, refused);
  }

  private static EndpointStatus onlyServices(EndpointStatus endpoint, Set<ServiceName> names) {
    return new EndpointStatus(
        endpoint.id(),
        endpoint.zone(),
        endpoint.pool(),
        endpoint.reachable(),
        endpoint.running(),
        endpoint.batchCapacity(),
        endpoint.queued(),
        endpoint.adapterCapacity(),
        endpoint.resident().stream().filter(ref -> names.contains(ref.service())).toList());
  }

  /**
   * Writes the status as JSON.
   *
   * @return one object
   */
  public String json() {
    ObjectNode root =
        JSON.createObjectNode()
            .put("instance", instance.value())
            .put("role", role)
            .put("zone", zone.value())
            .put("leaving", leaving)
            .put("in_flight", inFlight);
    ArrayNode endpointList = root.putArray("endpoints");
    endpoints.forEach(endpoint -> add(endpointList.addObject(), endpoint));
    ArrayNode serviceList = root.putArray("services");
    services.forEach(service -> add(serviceList.addObject(), service));
    ArrayNode quarantineList = root.putArray("quarantined");
    for (QuarantinedRequest entry : quarantined) {
      quarantineList
          .addObject()
          .put("service", entry.service().value())
          .put("fingerprint", entry.fingerprint())
          .put("until_ms", entry.untilMillis());
    }
    return root.toString();
  }

  private static void add(ObjectNode node, EndpointStatus endpoint) {
    node.put("endpoint", endpoint.id().value())
        .put("zone", endpoint.zone().value())
        .put("pool", endpoint.pool().value())
        .put("reachable", endpoint.reachable())
        .put("running", endpoint.running())
        .put("batch", endpoint.batchCapacity())
        .put("queued", endpoint.queued())
        .put("slots", endpoint.adapterCapacity());
    ArrayNode resident = node.putArray("resident");
    endpoint.resident().stream().sorted().forEach(ref -> resident.add(ref.toString()));
  }

  private static void add(ObjectNode node, ServiceStatus service) {
    node.put("service", service.name().value())
        .put("partner", service.partner().value())
        .put("version", service.version())
        .put("answered", service.answered());
    ObjectNode refused = node.putObject("refused");
    service.refused().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> refused.put(entry.getKey().label(), entry.getValue()));
  }
}
