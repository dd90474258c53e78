package org.hornbeamusher.load;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.ids.TimeOrderedUuid;

/**
 * Draws the requests of a workload. The same settings give the same requests, except for the
 * idempotency keys.
 */
final class Workload {

  private static final char FILLER = 'x';

  private final LoadSettings settings;
  private final RandomGenerator keyRandom;
  private final SplittableRandom random;
  private ZipfSampler sampler;

  /**
   * Creates a workload.
   *
   * @param settings the workload, including its seed
   * @param keyRandom source of randomness for idempotency keys, which must differ between runs
   */
  Workload(LoadSettings settings, RandomGenerator keyRandom) {
    this.settings = settings;
    this.keyRandom = keyRandom;
    this.random = new SplittableRandom(settings.seed());
    if (settings.traffic() instanceof Traffic.CompletionTraffic model) {
      this.sampler = new ZipfSampler(model.adapters().size(), model.skew());
    }
  }

  LoadRequest next(int number) {
    boolean nonRepeatable = random.nextDouble() < settings.nonRepeatableShare();
    return switch (settings.traffic()) {
      case Traffic.CompletionTraffic model ->
          completion(model, number, nonRepeatable ? newKey() : "");
      case Traffic.PlainServiceTraffic plain ->
          new LoadRequest.PlainCall(
              plain.service().value(), plain.path(), "load " + number, newKey());
    };
  }

  boolean shouldResend(LoadRequest request) {
    return !request.idempotencyKey().isEmpty() && random.nextDouble() < settings.resendShare();
  }

  private LoadRequest completion(
      Traffic.CompletionTraffic model, int number, String idempotencyKey) {
    boolean uniform = random.nextDouble() < model.uniformShare();
    int rank = uniform ? random.nextInt(model.adapters().size()) : sampler.next(random);
    boolean streamed = random.nextDouble() < model.streamedShare();
    return new LoadRequest.Completion(
        model.adapters().get(rank),
        prompt(number, model.promptChars()),
        model.maxTokens(),
        streamed,
        idempotencyKey);
  }

  private static String prompt(int number, int chars) {
    String start = "request " + number + " ";
    int filler = Math.max(0, chars - start.length());
    return start + String.valueOf(FILLER).repeat(filler);
  }

  private String newKey() {
    return TimeOrderedUuid.of(SystemClock.INSTANCE.millis(), keyRandom).toString();
  }
}
