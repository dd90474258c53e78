package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamusher.accounts.AccountKey;
import org.hornbeamusher.placement.PromptPart;
import org.hornbeamusher.routes.AdapterKey;

/**
 * The metadata in a request's headers.
 *
 * @param id the id of the request; a caller uses a new one for each try
 * @param budgetMillis how long the caller waits; empty if not stated
 * @param adapter the adapter to run it on; empty for a plain service
 * @param promptTokens length of the prompt; 0 if not stated
 * @param outputTokens maximum length of the output; 0 if not stated
 * @param tokensStated whether both lengths are stated
 * @param parts the parts of the prompt in order
 * @param lastEvent the last event that the caller received; empty for a stream from the start
 * @param resumes the id of the try that brought the first event of the stream that is resumed;
 *     empty if not stated
 * @param keys the account keys in order; a valid request has at most one
 * @param emptyKey whether there is a key header without a value
 */
public record RequestMetadata(
    String id,
    OptionalLong budgetMillis,
    Optional<AdapterKey> adapter,
    int promptTokens,
    int outputTokens,
    boolean tokensStated,
    List<PromptPart> parts,
    OptionalLong lastEvent,
    Optional<String> resumes,
    List<AccountKey> keys,
    boolean emptyKey) {

  /** Copies the lists. */
  public RequestMetadata {
    parts = List.copyOf(parts);
    keys = List.copyOf(keys);
  }

  /**
   * Returns the size of the request.
   *
   * @return the sum of prompt and output tokens; empty if not stated
   */
  public OptionalLong tokens() {
    return tokensStated
        ? OptionalLong.of((long) promptTokens + outputTokens)
        : OptionalLong.empty();
  }
}
