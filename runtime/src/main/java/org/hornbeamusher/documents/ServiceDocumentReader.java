package org.hornbeamusher.documents;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.hornbeamusher.documents.ServiceDocument.AdapterDeclaration;
import org.hornbeamusher.documents.ServiceDocument.CallPattern;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.documents.ServiceDocument.ServiceKind;
import org.hornbeamusher.documents.ServiceDocument.ServiceLimits;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.toml.Problem;
import org.hornbeamusher.toml.Problems;
import org.hornbeamusher.toml.TomlChecker;
import org.hornbeamusher.toml.TomlDocument;

/**
 * Parses and validates the TOML text of a service document.
 *
 * <p>The format is described in {@code docs/DOCUMENTS.md}. A document is accepted or refused as a
 * whole, and all problems are reported at once with their line and key.
 */
public final class ServiceDocumentReader {

  /** Maximum length of the text; encoded with the other fields it must fit a row of 1 MiB. */
  public static final int MAXIMUM_TEXT_LENGTH = 900_000;

  private static final int MAXIMUM_SLOTS = 4_096;
  private static final int MAXIMUM_BATCH = 4_096;
  private static final int MAXIMUM_QUEUE = 100_000;
  private static final int MAXIMUM_SHARE = 1_000;
  private static final int MAXIMUM_TOKENS = 1_000_000;
  private static final double MAXIMUM_WEIGHT = 100;
  private static final long MAXIMUM_DEADLINE_MILLIS = 86_400_000;
  private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
  private static final long DEFAULT_MAXIMUM_DEADLINE_MILLIS = 60_000;
  private static final int DEFAULT_QUEUE = 64;
  private static final int DEFAULT_TOKENS = 4_096;
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");
  private static final String ADAPTER_PLACEHOLDER = "{adapter}";
  private static final String VERSION_PLACEHOLDER = "{version}";

  private ServiceDocumentReader() {}

  /**
   * Reads one document.
   *
   * @param fileName the name shown in problems
   * @param text the whole text
   * @return the document at version 0, or all its problems
   */
  public static DocumentParseResult read(String fileName, String text) {
    if (text.length() > MAXIMUM_TEXT_LENGTH) {
      String detail = "must not be longer than " + MAXIMUM_TEXT_LENGTH + " characters";
      Problem problem = new Problem(fileName, 0, "", Problem.Kind.OUT_OF_RANGE, detail);
      return new DocumentParseResult.Invalid(new Problems(List.of(problem)));
    }
    TomlChecker root = TomlDocument.parse(fileName, text).checker();
    ServiceDocument document = document(root);
    List<Problem> problems = root.problems();
    if (problems.isEmpty()) {
      return new DocumentParseResult.Valid(document);
    }
    return new DocumentParseResult.Invalid(new Problems(problems));
  }

  private static ServiceDocument document(TomlChecker root) {
    return new ServiceDocument(
        root.value("service", ServiceName::new),
        root.value("partner", PartnerId::new),
        root.value("team", TeamId::new),
        0,
        false,
        root.value("pool", PoolName::new),
        kind(root),
        weights(root.optionalTable("weights")),
        limits(root.optionalTable("limits")),
        callers(root.optionalTable("callers")));
  }

  private static ServiceKind kind(TomlChecker root) {
    boolean model = root.has("model");
    boolean plain = root.has("plain");
    if (model == plain) {
      String detail = "exactly one of the tables [model] and [plain] is required";
      root.record("model", Problem.Kind.INVALID_VALUE, detail);
    }
    return plain ? plain(root.table("plain")) : model(root);
  }

  private static ServiceKind model(TomlChecker root) {
    TomlChecker model = root.optionalTable("model");
    if (!root.has("model")) {
      return new ServiceKind.Model("", Map.of(), false, 1, 1);
    }
    String pattern = model.string("weights", "");
    return new ServiceKind.Model(
        model.string("base_model"),
        adapters(root.optionalTable("adapters"), pattern),
        model.bool("fencing", false),
        (int) model.integer("slots", 1, MAXIMUM_SLOTS),
        (int) model.integer("batch", 1, MAXIMUM_BATCH));
  }

  private static Map<AdapterName, AdapterDeclaration> adapters(TomlChecker table, String pattern) {
    Map<AdapterName, AdapterDeclaration> adapters = new HashMap<>();
    table
        .tablesByKey()
        .forEach(
            (key, checker) -> {
              AdapterDeclaration adapter = adapter(checker, key, pattern);
              table.keyAs(key, AdapterName::new).ifPresent(name -> adapters.put(name, adapter));
            });
    return adapters;
  }

  private static AdapterDeclaration adapter(TomlChecker table, String name, String pattern) {
    int current = (int) table.integer("current", 1, Integer.MAX_VALUE);
    List<Integer> versions =
        table.integers("versions", 1, Integer.MAX_VALUE).stream().map(Long::intValue).toList();
    checkVersions(table, current, versions);
    String weightsLocation = table.string("weights", pattern);
    if (weightsLocation.isEmpty()) {
      String detail = "the key is required where [model] has no weights";
      table.record("weights", Problem.Kind.MISSING_KEY, detail);
    } else if (!weightsLocation.contains(VERSION_PLACEHOLDER)) {
      table.record("weights", Problem.Kind.INVALID_VALUE, "must contain " + VERSION_PLACEHOLDER);
    }
    return new AdapterDeclaration(
        current, versions, weightsLocation.replace(ADAPTER_PLACEHOLDER, name));
  }

  private static void checkVersions(TomlChecker table, int current, List<Integer> versions) {
    if (!table.has("versions")) {
      table.record("versions", Problem.Kind.MISSING_KEY, "the key is required");
      return;
    }
    Set<Integer> distinct = new HashSet<>(versions);
    if (distinct.size() < versions.size()) {
      table.record("versions", Problem.Kind.INVALID_VALUE, "must not name a version twice");
    }
    if (table.has("current") && !distinct.contains(current)) {
      table.record("current", Problem.Kind.INVALID_VALUE, "must be among versions");
    }
  }

  private static ServiceKind plain(TomlChecker plain) {
    List<CallPattern> patterns =
        plain.tables("non_repeatable").stream().map(ServiceDocumentReader::pattern).toList();
    return new ServiceKind.Plain(patterns, (int) plain.integer("concurrency", 1, MAXIMUM_BATCH));
  }

  private static CallPattern pattern(TomlChecker table) {
    String method = table.string("method");
    if (!METHOD.matcher(method).matches()) {
      table.record("method", Problem.Kind.INVALID_VALUE, "must be a method in capital letters");
    }
    String path = table.string("path");
    if (!path.startsWith("/")) {
      table.record("path", Problem.Kind.INVALID_VALUE, "must begin with /");
    }
    return new CallPattern(method, path);
  }

  private static CostWeights weights(TomlChecker table) {
    double loadStall = table.number("load_stall", 0, MAXIMUM_WEIGHT, 1);
    double batchEfficiency = table.number("batch_efficiency", 0, MAXIMUM_WEIGHT, 1);
    return new CostWeights(loadStall, batchEfficiency);
  }

  private static ServiceLimits limits(TomlChecker table) {
    int share = (int) table.integer("share", 1, MAXIMUM_SHARE, 1);
    int queue = (int) table.integer("queue", 1, MAXIMUM_QUEUE, DEFAULT_QUEUE);
    long deadline =
        table.integer("default_deadline_ms", 1, MAXIMUM_DEADLINE_MILLIS, DEFAULT_DEADLINE_MILLIS);
    long longest = Math.max(deadline, DEFAULT_MAXIMUM_DEADLINE_MILLIS);
    long maximum = table.integer("maximum_deadline_ms", 1, MAXIMUM_DEADLINE_MILLIS, longest);
    if (deadline > maximum) {
      String detail = "must not be longer than maximum_deadline_ms";
      table.record("default_deadline_ms", Problem.Kind.INVALID_VALUE, detail);
    }
    int tokens = (int) table.integer("maximum_tokens", 1, MAXIMUM_TOKENS, DEFAULT_TOKENS);
    return new ServiceLimits(share, queue, deadline, maximum, tokens);
  }

  private static Map<CallerId, Integer> callers(TomlChecker table) {
    Map<CallerId, Integer> callers = new HashMap<>();
    for (String key : table.keys()) {
      int weight = (int) table.integer(key, 1, MAXIMUM_SHARE);
      table.keyAs(key, CallerId::new).ifPresent(caller -> callers.put(caller, weight));
    }
    return callers;
  }
}
