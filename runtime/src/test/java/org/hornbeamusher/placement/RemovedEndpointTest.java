package org.hornbeamusher.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.Set;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.junit.jupiter.api.Test;

class RemovedEndpointTest {

  /** Guards against a request that waits for an endpoint and is sent there after its removal. */
  @Test
  void removedEndpointTakesNoRequestsWhateverItsAgentReports() {
    Endpoint endpoint =
        new Endpoint(
            new EndpointIncarnation(new EndpointId("a"), 1),
            "s",
            URI.create("http://127.0.0.1:1"),
            "z",
            4,
            false,
            0,
            Set.of());
    EndpointView view = new EndpointView(endpoint, 0, 0, new EndpointAvailability());
    assertTrue(view.takesRequests(0));
    view.markRemoved();
    view.updateFromAgent(Set.of(), Set.of(), false);
    assertFalse(view.takesRequests(0));
  }
}
