package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamusher.accounts.AccountKey;
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
 * @param sized whether it states the two lengths
 * @param parts the parts of its prompt in order
 * @param lastEvent the last event the caller has; empty for a stream from its start
 * @param keys the account keys that it carries, in order; a proper request has one at the most
 * @param emptyKey whether it carries a key without a text
 */
public record RequestFacts(
    String id,
    OptionalLong budgetMillis,
    Optional<AdapterKey> adapter,
    int promptTokens,
    int outputTokens,
    boolean sized,
    List<PromptPart> parts,
    OptionalLong lastEvent,
    List<AccountKey> keys,
    boolean emptyKey) {

  /** Copies the lists. */
  public RequestFacts {
    parts = List.copyOf(parts);
    keys = List.copyOf(keys);
  }

  /**
   * Returns the size of the request.
   *
   * @return prompt and output tokens together; empty when the request does not state them
   */
  public OptionalLong tokens() {
    return sized ? OptionalLong.of((long) promptTokens + outputTokens) : OptionalLong.empty();
  }
}
