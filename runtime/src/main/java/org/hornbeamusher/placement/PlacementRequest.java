package org.hornbeamusher.placement;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.directory.AdapterVersion;

/**
 * The properties of a request that determine its placement.
 *
 * @param hash the same for each attempt of the request
 * @param adapter the adapter and version it must run on; empty at a plain service
 * @param promptTokens length of its prompt
 * @param outputTokens maximum length of its output
 * @param bytes length of its body
 * @param parts the parts of its prompt in order
 */
public record PlacementRequest(
    long hash,
    Optional<AdapterVersion> adapter,
    int promptTokens,
    int outputTokens,
    int bytes,
    List<PromptPart> parts) {

  /** Copies the list. */
  public PlacementRequest {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the same request for another version of its adapter.
   *
   * @param version the adapter with the version
   * @return a request that differs in the adapter only
   */
  public PlacementRequest withAdapter(AdapterVersion version) {
    return new PlacementRequest(
        hash, Optional.of(version), promptTokens, outputTokens, bytes, parts);
  }
}
