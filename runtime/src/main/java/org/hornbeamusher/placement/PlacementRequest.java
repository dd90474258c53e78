package org.hornbeamusher.placement;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.directory.HeldAdapter;

/**
 * What placing needs to know of a request.
 *
 * @param hash the same for the same request
 * @param adapter the adapter and version it must run on; empty at a plain service
 * @param promptTokens length of its prompt
 * @param outputTokens most tokens of its answer
 * @param bytes length of its content
 * @param parts the parts of its prompt in order
 */
public record PlacementRequest(
    long hash,
    Optional<HeldAdapter> adapter,
    int promptTokens,
    int outputTokens,
    int bytes,
    List<PromptPart> parts) {

  /** Copies the list. */
  public PlacementRequest {
    parts = List.copyOf(parts);
  }
}
