package org.hornbeamusher.forwarding;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.routes.Route;

/**
 * Keeps one stream at the software version that began it: endpoints of other versions are excluded
 * once an event was relayed or the origin of a resumed stream was found.
 */
final class StreamContinuation {

  private final StreamOrigins streams;
  private final RequestMetadata metadata;
  private final Route route;
  private final String service;

  /** Where the stream that the caller has events of began; null before the first event. */
  private StreamOrigin origin;

  private boolean reported;

  StreamContinuation(StreamOrigins streams, RequestMetadata metadata, Route route, String service) {
    this.streams = streams;
    this.metadata = metadata;
    this.route = route;
    this.service = service;
  }

  /** Sets the origin of a stream that the caller resumes. */
  void resumedFrom(StreamOrigin found) {
    origin = found;
  }

  /** Returns whether the stream may go on, or begin, at an endpoint. */
  boolean mayRunAt(EndpointView view) {
    return origin == null || streams.mayContinue(origin, view.endpoint());
  }

  /** Adds the endpoints at which the stream may not go on. */
  void addExcluded(Collection<EndpointView> views, Set<EndpointIncarnation> excluded) {
    if (origin != null) {
      views.stream()
          .filter(view -> !mayRunAt(view))
          .forEach(view -> excluded.add(view.incarnation()));
    }
  }

  /** Returns whether the stream may not go on at every endpoint. */
  boolean isBound() {
    return origin != null;
  }

  /** Records, once an event was relayed, that the stream began at an endpoint. */
  void eventRelayed(Endpoint began) {
    if (reported) {
      return;
    }
    reported = true;
    if (origin == null) {
      origin = new StreamOrigin(Optional.of(began.incarnation()), began.software());
    }
    if (route.resumable()) {
      streams.begun(metadata.id(), service, origin);
      metadata.resumes().ifPresent(first -> streams.begun(first, service, origin));
    }
  }

  /** Records that the caller has received the stream completely. */
  void completed() {
    if (reported && route.resumable()) {
      streams.completed(metadata.id());
      metadata.resumes().ifPresent(streams::completed);
    }
  }
}
