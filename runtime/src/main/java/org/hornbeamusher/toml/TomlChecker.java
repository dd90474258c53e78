package org.hornbeamusher.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.InvalidIdentifierException;
import org.hornbeamusher.toml.Problem.Kind;

/**
 * Reads the values of one table and records every problem instead of stopping at the first.
 *
 * <p>Each accessor marks its key as known and returns the value, or a placeholder when the value is
 * absent or wrong: {@code ""}, the lowest number of the range, an empty list or table, {@code null}
 * for an identifier. The caller reads every key and then calls {@link #throwIfProblems}, which
 * throws when any problem was recorded, so that placeholders are never used. Keys that were never
 * read are problems as well: a misspelt optional key would otherwise be ignored silently and its
 * default used instead of the value that the operator set.
 *
 * <pre>
 * TomlChecker top = document.checker();
 * String host = top.table("http").string("host", "127.0.0.1");
 * long port = top.table("http").integer("port", 1, 65_535);
 * top.finish(FailureType.SETTINGS_INVALID);
 * </pre>
 *
 * <p>Not thread-safe.
 */
public final class TomlChecker {

  private final TomlDocument document;
  private final ObjectNode table;
  private final String path;
  private final List<Problem> problems;
  private final Set<String> knownKeys = new HashSet<>();
  private final Map<String, TomlChecker> children = new HashMap<>();

  TomlChecker(TomlDocument document, ObjectNode table, String path, List<Problem> problems) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.problems = problems;
  }

  /**
   * Returns whether a key is present and marks it as known.
   *
   * @param key a key of this table
   * @return whether it has a value
   */
  public boolean has(String key) {
    knownKeys.add(key);
    return table.has(key);
  }

  /**
   * Reads a required string.
   *
   * @param key a key of this table
   * @return the text
   */
  public String string(String key) {
    return text(key, "");
  }

  /**
   * Reads an optional string.
   *
   * @param key a key of this table
   * @param fallback the value when the key is absent
   * @return the text
   */
  public String string(String key, String fallback) {
    return has(key) ? text(key, fallback) : fallback;
  }

  /**
   * Reads a required string and converts it to a value type.
   *
   * @param key a key of this table
   * @param constructor converts the string; throws {@link InvalidIdentifierException} or another
   *     {@link IllegalArgumentException} when the string is invalid
   * @param <T> the value type
   * @return the value, or null when it was absent or wrong
   */
  public <T> T value(String key, Function<String, T> constructor) {
    JsonNode node = required(key);
    if (node == null) {
      return null;
    }
    if (!node.isTextual()) {
      wrongType(key, "a text", node);
      return null;
    }
    return convert(KeyPath.child(path, key), node.textValue(), constructor);
  }

  /**
   * Reads an optional string and converts it to a value type.
   *
   * @param key a key of this table
   * @param constructor as in {@link #value}
   * @param <T> the value type
   * @return the value, or empty when it was absent or wrong
   */
  public <T> Optional<T> optionalValue(String key, Function<String, T> constructor) {
    return has(key) ? Optional.ofNullable(value(key, constructor)) : Optional.empty();
  }

  /**
   * Reads a required integer.
   *
   * @param key a key of this table
   * @param minimum the lowest allowed value
   * @param maximum the highest allowed value
   * @return the number
   */
  public long integer(String key, long minimum, long maximum) {
    JsonNode node = required(key);
    if (node == null) {
      return minimum;
    }
    if (!node.isIntegralNumber()) {
      wrongType(key, "a whole number", node);
      return minimum;
    }
    if (!node.canConvertToLong() || node.longValue() < minimum || node.longValue() > maximum) {
      record(key, Kind.OUT_OF_RANGE, "must be from " + minimum + " to " + maximum + ", is " + node);
      return minimum;
    }
    return node.longValue();
  }

  /**
   * Reads an optional integer.
   *
   * @param key a key of this table
   * @param minimum the lowest allowed value
   * @param maximum the highest allowed value
   * @param fallback the value when the key is absent
   * @return the number
   */
  public long integer(String key, long minimum, long maximum, long fallback) {
    return has(key) ? integer(key, minimum, maximum) : fallback;
  }

  /**
   * Reads a required number.
   *
   * @param key a key of this table
   * @param minimum the lowest allowed value
   * @param maximum the highest allowed value
   * @return the number
   */
  public double number(String key, double minimum, double maximum) {
    JsonNode node = required(key);
    if (node == null) {
      return minimum;
    }
    if (!node.isNumber()) {
      wrongType(key, "a number", node);
      return minimum;
    }
    double value = node.doubleValue();
    if (!(value >= minimum && value <= maximum)) {
      record(key, Kind.OUT_OF_RANGE, "must be from " + minimum + " to " + maximum + ", is " + node);
      return minimum;
    }
    return value;
  }

  /**
   * Reads an optional number.
   *
   * @param key a key of this table
   * @param minimum the lowest allowed value
   * @param maximum the highest allowed value
   * @param fallback the value when the key is absent
   * @return the number
   */
  public double number(String key, double minimum, double maximum, double fallback) {
    return has(key) ? number(key, minimum, maximum) : fallback;
  }

  /**
   * Reads an optional boolean.
   *
   * @param key a key of this table
   * @param fallback the value when the key is absent
   * @return the value
   */
  public boolean bool(String key, boolean fallback) {
    if (!has(key)) {
      return fallback;
    }
    JsonNode node = table.get(key);
    if (!node.isBoolean()) {
      wrongType(key, "true or false", node);
      return fallback;
    }
    return node.booleanValue();
  }

  /**
   * Reads an optional list of strings and converts them to a value type.
   *
   * @param key a key of this table
   * @param constructor as in {@link #value}
   * @param <T> the value type
   * @return the valid values; empty when the key is absent
   */
  public <T> List<T> values(String key, Function<String, T> constructor) {
    List<T> values = new ArrayList<>();
    forEachElement(
        key,
        (element, node) -> {
          if (node.isTextual()) {
            T value = convert(element, node.textValue(), constructor);
            if (value != null) {
              values.add(value);
            }
          } else {
            recordAt(element, Kind.WRONG_TYPE, "must be a text, is " + typeOf(node));
          }
        });
    return values;
  }

  /**
   * Reads an optional list of strings.
   *
   * @param key a key of this table
   * @return the strings; empty when the key is absent
   */
  public List<String> strings(String key) {
    return values(key, Function.identity());
  }

  /**
   * Reads an optional list of integers.
   *
   * @param key a key of this table
   * @param minimum the lowest allowed value
   * @param maximum the highest allowed value
   * @return the valid integers; empty when the key is absent
   */
  public List<Long> integers(String key, long minimum, long maximum) {
    List<Long> values = new ArrayList<>();
    forEachElement(
        key,
        (element, node) -> {
          if (!node.isIntegralNumber()) {
            recordAt(element, Kind.WRONG_TYPE, "must be a whole number, is " + typeOf(node));
          } else if (!node.canConvertToLong()
              || node.longValue() < minimum
              || node.longValue() > maximum) {
            recordAt(
                element,
                Kind.OUT_OF_RANGE,
                "must be from " + minimum + " to " + maximum + ", is " + node);
          } else {
            values.add(node.longValue());
          }
        });
    return values;
  }

  /**
   * Reads a required table.
   *
   * @param key a key of this table
   * @return its checker, or that of an empty table when it was absent or wrong
   */
  public TomlChecker table(String key) {
    if (!has(key)) {
      record(key, Kind.MISSING_KEY, "the table is required");
    }
    return optionalTable(key);
  }

  /**
   * Reads an optional table.
   *
   * @param key a key of this table
   * @return its checker, or that of an empty table when it was absent or wrong
   */
  public TomlChecker optionalTable(String key) {
    knownKeys.add(key);
    return child(KeyPath.child(path, key), table.get(key));
  }

  /**
   * Reads an optional list of tables.
   *
   * @param key a key of this table
   * @return one checker per element, in order; empty when the key is absent
   */
  public List<TomlChecker> tables(String key) {
    List<TomlChecker> tables = new ArrayList<>();
    forEachElement(key, (element, node) -> tables.add(child(element, node)));
    return tables;
  }

  /**
   * Reads this table as a map with arbitrary keys and tables as values; marks all keys as known.
   *
   * @return one checker per key, in the order of the text
   */
  public Map<String, TomlChecker> tablesByKey() {
    Map<String, TomlChecker> tables = new LinkedHashMap<>();
    keys().forEach(key -> tables.put(key, child(KeyPath.child(path, key), table.get(key))));
    return tables;
  }

  /**
   * Lists this table's keys and marks them all as known.
   *
   * @return the keys in the order of the text
   */
  public List<String> keys() {
    List<String> keys = new ArrayList<>();
    Iterator<String> names = table.fieldNames();
    names.forEachRemaining(keys::add);
    knownKeys.addAll(keys);
    return keys;
  }

  /**
   * Converts the name of a key to a value type; records a problem when the name is invalid.
   *
   * @param key a key of this table
   * @param constructor as in {@link #value}
   * @param <T> the value type
   * @return the value, or empty when the name is invalid
   */
  public <T> Optional<T> keyAs(String key, Function<String, T> constructor) {
    return Optional.ofNullable(convert(KeyPath.child(path, key), key, constructor));
  }

  /**
   * Records a problem that the caller found, for example two values that exclude each other.
   *
   * @param key a key of this table; empty for the whole table
   * @param kind the kind of problem
   * @param detail what was expected
   */
  public void record(String key, Kind kind, String detail) {
    recordAt(key.isEmpty() ? path : KeyPath.child(path, key), kind, detail);
  }

  /**
   * Returns the problems found so far, unknown keys included.
   *
   * @return the problems, ordered by line
   */
  public List<Problem> problems() {
    if (document.fatalProblem().isPresent()) {
      return List.of(document.fatalProblem().get());
    }
    List<Problem> all = new ArrayList<>(problems);
    addUnknown(all);
    return document.sortedByLine(all);
  }

  /**
   * Throws a failure if there are problems.
   *
   * @param type the type of the failure; its template takes one argument
   * @throws HornbeamusherException with {@link Problems} as its argument, when there are problems
   */
  public void throwIfProblems(FailureType type) {
    List<Problem> all = problems();
    if (!all.isEmpty()) {
      throw HornbeamusherException.notRun(type, new Problems(all));
    }
  }

  private void addUnknown(List<Problem> all) {
    Iterator<String> names = table.fieldNames();
    while (names.hasNext()) {
      String key = names.next();
      if (!knownKeys.contains(key)) {
        String full = KeyPath.child(path, key);
        all.add(problem(full, Kind.UNKNOWN_KEY, "no such key here"));
      }
    }
    children.values().forEach(child -> child.addUnknown(all));
  }

  private TomlChecker child(String childPath, JsonNode node) {
    return children.computeIfAbsent(
        childPath,
        p -> {
          if (node != null && !node.isObject()) {
            recordAt(p, Kind.WRONG_TYPE, "must be a table, is " + typeOf(node));
          }
          ObjectNode content =
              node instanceof ObjectNode object ? object : JsonNodeFactory.instance.objectNode();
          return new TomlChecker(document, content, p, problems);
        });
  }

  private String text(String key, String placeholder) {
    JsonNode node = required(key);
    if (node == null) {
      return placeholder;
    }
    if (!node.isTextual()) {
      wrongType(key, "a text", node);
      return placeholder;
    }
    return node.textValue();
  }

  private JsonNode required(String key) {
    if (!has(key)) {
      record(key, Kind.MISSING_KEY, "the key is required");
    }
    return table.get(key);
  }

  private <T> T convert(String fullKey, String text, Function<String, T> constructor) {
    try {
      return constructor.apply(text);
    } catch (IllegalArgumentException e) {
      recordAt(fullKey, Kind.INVALID_VALUE, e.getMessage());
      return null;
    }
  }

  private void forEachElement(
      String key, java.util.function.BiConsumer<String, JsonNode> elementReader) {
    if (!has(key)) {
      return;
    }
    JsonNode list = table.get(key);
    if (!list.isArray()) {
      wrongType(key, "a list", list);
      return;
    }
    String listKey = KeyPath.child(path, key);
    for (int i = 0; i < list.size(); i++) {
      elementReader.accept(KeyPath.element(listKey, i), list.get(i));
    }
  }

  private void wrongType(String key, String expected, JsonNode node) {
    record(key, Kind.WRONG_TYPE, "must be " + expected + ", is " + typeOf(node));
  }

  private void recordAt(String fullKey, Kind kind, String detail) {
    problems.add(problem(fullKey, kind, detail));
  }

  private Problem problem(String fullKey, Kind kind, String detail) {
    return new Problem(document.fileName(), document.line(fullKey), fullKey, kind, detail);
  }

  private static String typeOf(JsonNode node) {
    return switch (node.getNodeType()) {
      case STRING -> "a text";
      case NUMBER -> node.isIntegralNumber() ? "a whole number" : "a number";
      case BOOLEAN -> "a truth value";
      case ARRAY -> "a list";
      case OBJECT -> "a table";
      default -> node.getNodeType().name();
    };
  }
}
