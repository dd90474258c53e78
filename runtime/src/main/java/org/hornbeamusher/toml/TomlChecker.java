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
 * Reads the values of one table and records every fault instead of stopping at the first.
 *
 * <p>Each accessor marks its key as known and returns the value, or a harmless stand-in when the
 * value is absent or wrong: {@code ""}, the lowest number of the range, an empty list or table,
 * {@code null} for an identifier. The reader asks for every key and then calls {@link
 * #throwIfProblems}, which throws when anything was recorded, so that a stand-in never gets further
 * than the reader. Keys that were never asked for are faults as well: a misspelt optional key would
 * otherwise be ignored in silence and its default taken for the operator's wish.
 *
 * <pre>
 * TomlChecker top = document.checker();
 * String host = top.table("http").string("host", "127.0.0.1");
 * long port = top.table("http").integer("port", 1, 65_535);
 * top.finish(FailureType.SETTINGS_INVALID);
 * </pre>
 *
 * <p>Not safe for use by several threads at once.
 */
public final class TomlChecker {

  private final TomlDocument document;
  private final ObjectNode table;
  private final String path;
  private final List<Problem> problems;
  private final Set<String> known = new HashSet<>();
  private final Map<String, TomlChecker> children = new HashMap<>();

  TomlChecker(TomlDocument document, ObjectNode table, String path, List<Problem> problems) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.problems = problems;
  }

  /**
   * Tells whether a key is present, and marks it as known.
   *
   * @param key a key of this table
   * @return whether it has a value
   */
  public boolean has(String key) {
    known.add(key);
    return table.has(key);
  }

  /**
   * Reads a required text.
   *
   * @param key a key of this table
   * @return the text
   */
  public String string(String key) {
    return text(key, "");
  }

  /**
   * Reads an optional text.
   *
   * @param key a key of this table
   * @param fallback the value when the key is absent
   * @return the text
   */
  public String string(String key, String fallback) {
    return has(key) ? text(key, fallback) : fallback;
  }

  /**
   * Reads a required value type.
   *
   * @param key a key of this table
   * @param constructor makes the value of a text and throws {@link InvalidIdentifierException} or
   *     another {@link IllegalArgumentException} when the text has another form
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
   * Reads an optional value type.
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
   * Reads a required whole number.
   *
   * @param key a key of this table
   * @param least the lowest allowed
   * @param most the highest allowed
   * @return the number
   */
  public long integer(String key, long least, long most) {
    JsonNode node = required(key);
    if (node == null) {
      return least;
    }
    if (!node.isIntegralNumber()) {
      wrongType(key, "a whole number", node);
      return least;
    }
    if (!node.canConvertToLong() || node.longValue() < least || node.longValue() > most) {
      record(key, Kind.OUT_OF_RANGE, "must be from " + least + " to " + most + ", is " + node);
      return least;
    }
    return node.longValue();
  }

  /**
   * Reads an optional whole number.
   *
   * @param key a key of this table
   * @param least the lowest allowed
   * @param most the highest allowed
   * @param fallback the value when the key is absent
   * @return the number
   */
  public long integer(String key, long least, long most, long fallback) {
    return has(key) ? integer(key, least, most) : fallback;
  }

  /**
   * Reads a required number.
   *
   * @param key a key of this table
   * @param least the lowest allowed
   * @param most the highest allowed
   * @return the number
   */
  public double number(String key, double least, double most) {
    JsonNode node = required(key);
    if (node == null) {
      return least;
    }
    if (!node.isNumber()) {
      wrongType(key, "a number", node);
      return least;
    }
    double value = node.doubleValue();
    if (!(value >= least && value <= most)) {
      record(key, Kind.OUT_OF_RANGE, "must be from " + least + " to " + most + ", is " + node);
      return least;
    }
    return value;
  }

  /**
   * Reads an optional number.
   *
   * @param key a key of this table
   * @param least the lowest allowed
   * @param most the highest allowed
   * @param fallback the value when the key is absent
   * @return the number
   */
  public double number(String key, double least, double most, double fallback) {
    return has(key) ? number(key, least, most) : fallback;
  }

  /**
   * Reads an optional truth value.
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
   * Reads an optional list of value types.
   *
   * @param key a key of this table
   * @param constructor as in {@link #value}
   * @param <T> the value type
   * @return the values that were right; empty when the key is absent
   */
  public <T> List<T> values(String key, Function<String, T> constructor) {
    List<T> values = new ArrayList<>();
    eachElement(
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
   * Reads an optional list of texts.
   *
   * @param key a key of this table
   * @return the texts; empty when the key is absent
   */
  public List<String> strings(String key) {
    return values(key, Function.identity());
  }

  /**
   * Reads an optional list of whole numbers.
   *
   * @param key a key of this table
   * @param least the lowest allowed
   * @param most the highest allowed
   * @return the numbers that were right; empty when the key is absent
   */
  public List<Long> integers(String key, long least, long most) {
    List<Long> values = new ArrayList<>();
    eachElement(
        key,
        (element, node) -> {
          if (!node.isIntegralNumber()) {
            recordAt(element, Kind.WRONG_TYPE, "must be a whole number, is " + typeOf(node));
          } else if (!node.canConvertToLong()
              || node.longValue() < least
              || node.longValue() > most) {
            recordAt(
                element,
                Kind.OUT_OF_RANGE,
                "must be from " + least + " to " + most + ", is " + node);
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
   * @return its checker; of an empty table when it was absent or wrong
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
   * @return its checker; of an empty table when it was absent or wrong
   */
  public TomlChecker optionalTable(String key) {
    known.add(key);
    return child(KeyPath.child(path, key), table.get(key));
  }

  /**
   * Reads an optional list of tables.
   *
   * @param key a key of this table
   * @return one checker an element, in order; empty when the key is absent
   */
  public List<TomlChecker> tables(String key) {
    List<TomlChecker> tables = new ArrayList<>();
    eachElement(key, (element, node) -> tables.add(child(element, node)));
    return tables;
  }

  /**
   * Reads this table as a map whose keys the operator chooses and whose values are tables.
   *
   * @return one checker a key, in the order of the text; every key counts as known
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
    known.addAll(keys);
    return keys;
  }

  /**
   * Makes a value of a key's own name, recording a fault when the key cannot be one.
   *
   * @param key a key of this table
   * @param constructor as in {@link #value}
   * @param <T> the value type
   * @return the value, or empty when the key has another form
   */
  public <T> Optional<T> keyAs(String key, Function<String, T> constructor) {
    return Optional.ofNullable(convert(KeyPath.child(path, key), key, constructor));
  }

  /**
   * Records a fault that the reader found itself, for example two values that exclude each other.
   *
   * @param key a key of this table; empty for the table as a whole
   * @param kind what is wrong
   * @param detail what was expected
   */
  public void record(String key, Kind kind, String detail) {
    recordAt(key.isEmpty() ? path : KeyPath.child(path, key), kind, detail);
  }

  /**
   * Returns what was found so far, unknown keys included.
   *
   * @return the faults in order of their lines
   */
  public List<Problem> problems() {
    if (document.fatalProblem().isPresent()) {
      return List.of(document.fatalProblem().get());
    }
    List<Problem> all = new ArrayList<>(problems);
    addUnknown(all);
    return document.inOrder(all);
  }

  /**
   * Ends the check.
   *
   * @param type the failure to throw when there are faults; its template takes one argument
   * @throws HornbeamusherException carrying {@link Problems}
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
      if (!known.contains(key)) {
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

  private String text(String key, String standIn) {
    JsonNode node = required(key);
    if (node == null) {
      return standIn;
    }
    if (!node.isTextual()) {
      wrongType(key, "a text", node);
      return standIn;
    }
    return node.textValue();
  }

  private JsonNode required(String key) {
    if (!has(key)) {
      record(key, Kind.MISSING_KEY, "the key is required");
    }
    return table.get(key);
  }

  private <T> T convert(String at, String text, Function<String, T> constructor) {
    try {
      return constructor.apply(text);
    } catch (IllegalArgumentException e) {
      recordAt(at, Kind.INVALID_VALUE, e.getMessage());
      return null;
    }
  }

  private void eachElement(
      String key, java.util.function.BiConsumer<String, JsonNode> elementReader) {
    if (!has(key)) {
      return;
    }
    JsonNode list = table.get(key);
    if (!list.isArray()) {
      wrongType(key, "a list", list);
      return;
    }
    String at = KeyPath.child(path, key);
    for (int i = 0; i < list.size(); i++) {
      elementReader.accept(KeyPath.element(at, i), list.get(i));
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
