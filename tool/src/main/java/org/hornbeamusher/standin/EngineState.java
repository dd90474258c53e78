package org.hornbeamusher.standin;

import java.util.List;

/**
 * The state that an engine reports; also its JSON form.
 *
 * @param incarnation changes with every restart
 * @param resident resident adapters in their text form
 * @param running number of requests in the batch
 * @param fencing the highest fencing number received since the engine started
 * @param role the role set by the last role order
 */
record EngineState(
    String incarnation, List<String> resident, int running, long fencing, String role) {}
