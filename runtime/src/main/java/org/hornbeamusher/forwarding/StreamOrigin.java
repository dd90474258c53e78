package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.SoftwareVersion;

/**
 * Where a stream began. It may continue only at the same software version.
 *
 * @param endpoint the endpoint; empty if only the version is known
 * @param software its version; empty if it was not known yet
 */
record StreamOrigin(Optional<EndpointId> endpoint, Optional<SoftwareVersion> software) {}
