package org.hornbeamusher.load;

import java.util.SplittableRandom;

/** Draws the requests of a workload; the same settings draw the same requests. */
final class Workload {

  private static final char FILLER = 'x';

  private final LoadSettings settings;
  private final String keyPrefix;
  private final SplittableRandom random;
  private ZipfSampler sampler;

  /**
   * Creates a workload.
   *
   * @param settings what is drawn
   * @param keyPrefix makes idempotency keys differ from those of other runs
   */
  Workload(LoadSettings settings, String keyPrefix) {
    this.settings = settings;
    this.keyPrefix = keyPrefix;
    this.random = new SplittableRandom(settings.seed());
    if (settings.traffic() instanceof Traffic.Model model) {
      this.sampler = new ZipfSampler(model.adapters().size(), model.skew());
    }
  }

  LoadRequest next(int number) {
    boolean once = random.nextDouble() < settings.onceShare();
    return switch (settings.traffic()) {
      case Traffic.Model model -> completion(model, number, once ? key(number) : "");
      case Traffic.Plain plain ->
          new LoadRequest.PlainCall(
              plain.service().value(), plain.path(), "load " + number, key(number));
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

  private String key(int number) {
    return keyPrefix + "-" + number;
  }
}
