package org.hornbeamusher.routes;

/**
 * One of the services that share a route's requests.
 *
 * @param service the service's name
 * @param weight its share relative to the weights of the other targets; at least 0
 */
public record WeightedTarget(String service, int weight) {}
