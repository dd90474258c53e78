package org.hornbeamusher.load;

import java.util.List;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.ServiceName;

/** The kind of requests of a workload. */
public sealed interface Traffic {

  /**
   * Completions over adapters whose popularity is skewed.
   *
   * @param adapters the adapters, the most popular first
   * @param skew exponent of the Zipf distribution; 0 is the uniform distribution
   * @param uniformShare fraction of the requests whose adapter is drawn uniformly, 0 to 1
   * @param streamedShare fraction of the requests that are streamed, 0 to 1
   * @param promptChars length of a prompt in characters
   * @param maxTokens maximum number of tokens of a response
   */
  record CompletionTraffic(
      List<AdapterRef> adapters,
      double skew,
      double uniformShare,
      double streamedShare,
      int promptChars,
      int maxTokens)
      implements Traffic {

    /** Copies the list. */
    public CompletionTraffic {
      adapters = List.copyOf(adapters);
    }
  }

  /**
   * Calls of a plain service, each with an idempotency key.
   *
   * @param service the service
   * @param path path of the POST requests, without the service's prefix
   */
  record PlainServiceTraffic(ServiceName service, String path) implements Traffic {}
}
