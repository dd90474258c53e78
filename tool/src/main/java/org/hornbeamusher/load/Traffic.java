package org.hornbeamusher.load;

import java.util.List;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.ServiceName;

/** What a workload asks for. */
public sealed interface Traffic {

  /**
   * Completions over adapters whose popularity is skewed.
   *
   * @param adapters the adapters, the most popular first
   * @param skew exponent of Zipf's law; 0 asks for all alike
   * @param coldShare part of the requests that ask for any adapter alike, 0 to 1
   * @param streamedShare part of the requests that are streamed, 0 to 1
   * @param promptChars length of a prompt
   * @param maxTokens length of an answer
   */
  record Model(
      List<AdapterRef> adapters,
      double skew,
      double coldShare,
      double streamedShare,
      int promptChars,
      int maxTokens)
      implements Traffic {

    /** Copies the list. */
    public Model {
      adapters = List.copyOf(adapters);
    }
  }

  /**
   * Calls of a plain service, each with an idempotency key.
   *
   * @param service the service
   * @param path what is posted to, below the service's prefix
   */
  record Plain(ServiceName service, String path) implements Traffic {}
}
