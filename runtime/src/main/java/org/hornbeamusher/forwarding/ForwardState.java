package org.hornbeamusher.forwarding;

import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.EndpointDirectory;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.Placer;
import org.hornbeamusher.routes.ConfigurationInForce;
import org.hornbeamusher.routes.ServiceSpec;
import org.hornbeamusher.routes.VersionsInForce;

/**
 * What all requests of an entry share. Confined to the loop.
 *
 * @param configuration the routes in force
 * @param intake decides which requests are admitted
 * @param versions the adapters' versions in force
 * @param directory the endpoints
 * @param placer decides where requests go
 * @param agents the engines' agents
 * @param limits the request rates that endpoints state
 * @param statements takes what endpoints' answers state
 * @param allowance bounds repeats
 * @param dialect the headers
 * @param http carries attempts
 * @param metrics what is counted
 * @param loop the loop
 * @param clock monotonic
 */
record ForwardState(
    ConfigurationInForce configuration,
    RequestIntake intake,
    VersionsInForce versions,
    EndpointDirectory directory,
    Placer placer,
    EngineAgents agents,
    EndpointLimits limits,
    AnswerStatements statements,
    RepeatAllowance allowance,
    Dialect dialect,
    HttpClient http,
    ForwardMetrics metrics,
    EventLoop loop,
    Clock clock) {

  /** Returns how many connections this entry may have to each endpoint of a service. */
  int mostConnections(String service) {
    int accepted =
        configuration
            .current()
            .flatMap(current -> current.service(service))
            .map(ServiceSpec::maxConnections)
            .orElse(0);
    return ConnectionShare.of(accepted, agents.entries());
  }
}
