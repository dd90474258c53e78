package org.hornbeamusher.standin;

import java.util.List;

/**
 * What an engine says of itself; also its JSON form.
 *
 * @param incarnation changes with every restart
 * @param resident adapters it holds, as written
 * @param running requests in its batch
 * @param fencing the highest fencing number it has seen since it started
 * @param role what the last role order said
 */
record EngineState(
    String incarnation, List<String> resident, int running, long fencing, String role) {}
