package org.hornbeamusher.forwarding;

import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.EndpointDirectory;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.Placer;
import org.hornbeamusher.routes.CurrentConfiguration;
import org.hornbeamusher.routes.LatestAdapterVersions;
import org.hornbeamusher.routes.ServiceSpec;

/**
 * The objects shared by all requests of an entry. Confined to the event loop.
 *
 * @param configuration holder of the current configuration
 * @param admission admits or refuses requests
 * @param versions the current versions of adapters
 * @param directory the endpoints
 * @param placer chooses endpoints
 * @param agents connections to the engines' agents
 * @param rateLimiter applies the rate limits of endpoints
 * @param stateUpdater updates endpoints from their responses
 * @param retryBudget bounds retries
 * @param crashes refuses requests under which endpoints crashed
 * @param refusals refuses requests that cannot be served in time
 * @param streams finds the software versions that began streams
 * @param headerCodec reads and writes headers
 * @param http sends attempts
 * @param metrics the metrics
 * @param loop the event loop
 * @param clock monotonic
 */
record ForwardContext(
    CurrentConfiguration configuration,
    RequestAdmission admission,
    LatestAdapterVersions versions,
    EndpointDirectory directory,
    Placer placer,
    AgentConnections agents,
    EndpointRateLimiter rateLimiter,
    EndpointStateUpdater stateUpdater,
    SharedRetryBudget retryBudget,
    RequestCrashes crashes,
    RefusalDecisions refusals,
    StreamOrigins streams,
    HeaderCodec headerCodec,
    HttpClient http,
    ForwardMetrics metrics,
    EventLoop loop,
    Clock clock) {

  /** Returns the maximum number of connections of this entry to each endpoint of a service. */
  int maxConnections(String service) {
    int accepted =
        configuration
            .current()
            .flatMap(current -> current.service(service))
            .map(ServiceSpec::maxConnections)
            .orElse(0);
    return ConnectionShare.of(accepted, agents.entries());
  }
}
