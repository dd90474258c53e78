package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.SoftwareVersion;

/**
 * Where a stream began. It may continue only at the same software version.
 *
 * @param endpoint the incarnation of the endpoint; empty if only the version is known
 * @param software its version; empty if it was not known yet
 */
record StreamOrigin(Optional<EndpointIncarnation> endpoint, Optional<SoftwareVersion> software) {}
