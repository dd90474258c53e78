package org.hornbeamusher.documents;

/** Document texts for tests. */
final class DocumentTexts {

  private static final String DISPATCH =
      """
      service = "lm-dispatch"
      partner = "zarqa"
      team = "dispatch"
      pool = "zarqa-engines"

      [model]
      base_model = "base-7b"
      fencing = true
      slots = 8
      batch = 16
      weights = "lora/lm-dispatch/{adapter}/{version}"

      [limits]
      queue = %d

      [adapters]
      "roster-0001" = { current = 2, versions = [1, 2] }
      "roster-0002" = { current = 1, versions = [1], weights = "elsewhere/{version}" }
      """;

  private DocumentTexts() {}

  static String dispatch(int queue) {
    return String.format(DISPATCH, queue);
  }

  static String valuer(int queue) {
    return dispatch(queue)
        .replace("lm-dispatch", "valuer-llm")
        .replace("zarqa", "tawhiti")
        .replace("\"dispatch\"", "\"valuations\"");
  }

  static String manyAdapters(int count) {
    StringBuilder text = new StringBuilder(dispatch(10));
    for (int i = 0; i < count; i++) {
      text.append(String.format("\"many-%04d\" = { current = 1, versions = [1] }%n", i));
    }
    return text.toString();
  }
}
