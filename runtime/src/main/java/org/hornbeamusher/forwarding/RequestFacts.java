package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamusher.placement.PromptPart;
import org.hornbeamusher.routes.AdapterKey;

/**
 * What a request's headers say.
 *
 * @param id the request's id; each try of a caller has its own
 * @param budgetMillis how long the caller waits; empty when it does not say
 * @param adapter what it is to run on; empty at a plain service
 * @param promptTokens length of its prompt, 0 when it does not say
 * @param outputTokens most tokens of its answer, 0 when it does not say
 * @param parts the parts of its prompt in order
 * @param lastEvent the last event the caller has; empty for a stream from its start
 */
public record RequestFacts(
    String id,
    OptionalLong budgetMillis,
    Optional<AdapterKey> adapter,
    int promptTokens,
    int outputTokens,
    List<PromptPart> parts,
    OptionalLong lastEvent) {

  /** Copies the list. */
  public RequestFacts {
    parts = List.copyOf(parts);
  }
}
