package org.hornbeamusher.load;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.ids.TimeOrderedUuid;

/** Draws the requests of a workload; the same settings draw the same requests. */
final class Workload {

  private static final char FILLER = 'x';

  private final LoadSettings settings;
  private final RandomGenerator keys;
  private final SplittableRandom random;
  private ZipfSampler sampler;

  /**
   * Creates a workload.
   *
   * @param settings what is drawn
   * @param keys draws idempotency keys, which must differ from those of other runs
   */
  Workload(LoadSettings settings, RandomGenerator keys) {
    this.settings = settings;
    this.keys = keys;
    this.random = new SplittableRandom(settings.seed());
    if (settings.traffic() instanceof Traffic.Model model) {
      this.sampler = new ZipfSampler(model.adapters().size(), model.skew());
    }
  }

  LoadRequest next(int number) {
    boolean once = random.nextDouble() < settings.onceShare();
    return switch (settings.traffic()) {
      case Traffic.Model model -> completion(model, number, once ? key() : "");
      case Traffic.Plain plain ->
          new LoadRequest.PlainCall(plain.service().value(), plain.path(), "load " + number, key());
    };
  }

  boolean resent(LoadRequest request) {
    return !request.onceKey().isEmpty() && random.nextDouble() < settings.resendShare();
  }

  private LoadRequest completion(Traffic.Model model, int number, String onceKey) {
    boolean cold = random.nextDouble() < model.coldShare();
    int rank = cold ? random.nextInt(model.adapters().size()) : sampler.next(random);
    boolean streamed = random.nextDouble() < model.streamedShare();
    return new LoadRequest.Completion(
        model.adapters().get(rank),
        prompt(number, model.promptChars()),
        model.maxTokens(),
        streamed,
        onceKey);
  }

  private static String prompt(int number, int chars) {
    String start = "request " + number + " ";
    int filler = Math.max(0, chars - start.length());
    return start + String.valueOf(FILLER).repeat(filler);
  }

  private String key() {
    return TimeOrderedUuid.of(SystemClock.INSTANCE.millis(), keys).toString();
  }
}
