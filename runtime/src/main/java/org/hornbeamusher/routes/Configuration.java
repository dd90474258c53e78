package org.hornbeamusher.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.accounts.AccountDirectory;

/**
 * One version of the configuration, indexed for look-ups.
 *
 * <p>Example: with the prefixes {@code /a/} and {@code /a/b/} of one host, the path {@code /a/b/c}
 * belongs to the second, {@code /a/x} to the first, and {@code /b/} to none.
 */
public final class Configuration {

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final AccountDirectory accounts;

  /**
   * Creates a configuration without client accounts.
   *
   * @param version rises with every change
   * @param routes every route
   * @param services every service
   */
  public Configuration(long version, List<Route> routes, List<ServiceSpec> services) {
    this(version, routes, services, AccountDirectory.NONE);
  }

  /**
   * Creates a configuration.
   *
   * @param version rises with every change
   * @param routes every route
   * @param services every service
   * @param accounts the client accounts and their keys
   */
  public Configuration(
      long version, List<Route> routes, List<ServiceSpec> services, AccountDirectory accounts) {
    this.version = version;
    this.accounts = accounts;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(lowerCase(route.host()), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
  }

  /**
   * Returns the version.
   *
   * @return rises with every change, in uneven steps
   */
  public long version() {
    return version;
  }

  /**
   * Finds the route of a request.
   *
   * @param host the requested host, without a port, in any case (RFC 9110, section 4.2.3)
   * @param path the path, without a query
   * @return the route of this host with the longest matching prefix
   */
  public Optional<Route> match(String host, String path) {
    for (Route route : routesByHost.getOrDefault(lowerCase(host), List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String lowerCase(String host) {
    return host.toLowerCase(Locale.ROOT);
  }

  /**
   * Finds a service.
   *
   * @param name its name
   * @return its configuration
   */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the client accounts.
   *
   * @return the accounts and their keys
   */
  public AccountDirectory accounts() {
    return accounts;
  }

  /**
   * Returns every service.
   *
   * @return the services by name
   */
  public Map<String, ServiceSpec> services() {
    return Map.copyOf(services);
  }
}
