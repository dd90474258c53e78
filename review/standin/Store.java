import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: rows, transactions under conditions and the feed. */
final class Store {

  private record Row(String table, String part, String key, String value, long version) {}

  private static final Pattern ENTRY = Pattern.compile("\\{[^{}]*\\}");

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Http.Server server;
  private final long start = System.nanoTime();
  private long version = 1;

  Store(String ip) throws Exception {
    server = new Http.Server(ip, 0, this::handle);
    server.start();
  }

  String address() {
    return server.address();
  }

  /** Writes a row as the operator or a worker does; returns when it is acknowledged. */
  synchronized void put(String table, String key, String json) {
    write(table, "", key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    Row old = rows.get(name(table, "", key));
    if (old != null && old.value() != null) {
      write(table, "", key, null);
      notifyAll();
    }
  }

  private void write(String table, String part, String key, String value) {
    rows.put(name(table, part, key), new Row(table, part, key, value, ++version));
  }

  private static String name(String table, String part, String key) {
    return table + "\u0001" + part + "\u0001" + key;
  }

  private boolean handle(Http.Message request, Socket connection, OutputStream out)
      throws Exception {
    String target = request.word(1);
    Map<String, String> query = query(target);
    if (target.startsWith("/-/rows-get")) {
      Http.json(out, 200, get(query));
    } else if (target.startsWith("/-/rows-feed")) {
      Http.json(out, 200, feed(query));
    } else if (target.startsWith("/-/rows-tx")) {
      Thread.sleep(3);
      String body = new String(request.body(), StandardCharsets.UTF_8);
      boolean done = commit(body);
      Http.json(out, done ? 200 : 412, tail(done ? "{" : "{\"rows\":[],"));
    } else {
      Http.json(out, 404, "{}");
    }
    return true;
  }

  private static Map<String, String> query(String target) {
    Map<String, String> values = new HashMap<>();
    int mark = target.indexOf('?');
    for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
      String[] parts = pair.split("=", 2);
      String value = parts.length < 2 ? "" : parts[1];
      values.put(parts[0], URLDecoder.decode(value, StandardCharsets.UTF_8));
    }
    return values;
  }

  private synchronized String get(Map<String, String> query) {
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    List<String> found = new ArrayList<>();
    boolean more = false;
    for (Row row : rows.values()) {
      boolean wanted =
          row.value() != null
              && row.table().equals(query.get("table"))
              && row.part().equals(query.getOrDefault("part", ""))
              && row.key().compareTo(query.getOrDefault("from", "")) >= 0
              && (!query.containsKey("to") || row.key().compareTo(query.get("to")) < 0);
      if (wanted && found.size() == limit) {
        more = true;
        break;
      }
      if (wanted) {
        found.add(json(row));
      }
    }
    return tail("{\"rows\":[" + String.join(",", found) + "],\"has_more\":" + more + ",");
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    while (true) {
      List<Row> found = new ArrayList<>();
      for (Row row : rows.values()) {
        if (row.table().equals(query.get("table")) && row.version() > after) {
          found.add(row);
        }
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || left <= 0) {
        found.sort((a, b) -> Long.compare(a.version(), b.version()));
        List<String> texts = found.stream().map(Store::json).toList();
        return tail("{\"rows\":[" + String.join(",", texts) + "],");
      }
      wait(left);
    }
  }

  private synchronized boolean commit(String body) {
    int put = body.indexOf("\"put\"");
    int remove = body.indexOf("\"remove\"");
    for (String entry : entries(body.substring(0, put))) {
      Row row = rows.get(name(entry));
      long found = row == null || row.value() == null ? 0 : row.version();
      if (found != Long.parseLong(Http.field(entry, "row_version"))) {
        return false;
      }
    }
    for (String entry : entries(body.substring(put, remove))) {
      write(
          Http.field(entry, "table"),
          Http.field(entry, "part"),
          Http.field(entry, "key"),
          Http.field(entry, "value"));
    }
    for (String entry : entries(body.substring(remove))) {
      write(Http.field(entry, "table"), Http.field(entry, "part"), Http.field(entry, "key"), null);
    }
    notifyAll();
    return true;
  }

  private static List<String> entries(String text) {
    List<String> found = new ArrayList<>();
    Matcher matcher = ENTRY.matcher(text);
    while (matcher.find()) {
      found.add(matcher.group());
    }
    return found;
  }

  private static String name(String entry) {
    return name(Http.field(entry, "table"), Http.field(entry, "part"), Http.field(entry, "key"));
  }

  private static String json(Row row) {
    String place =
        "{\"table\":\"" + row.table() + "\",\"part\":\"" + row.part() + "\",\"key\":\"" + row.key()
            + "\",\"row_version\":" + row.version();
    return row.value() == null
        ? place + ",\"deleted\":true}"
        : place + ",\"value\":\"" + row.value() + "\"}";
  }

  private synchronized String tail(String begin) {
    long now = (System.nanoTime() - start) / 1_000_000;
    return begin + "\"row_version\":" + version + ",\"now_ms\":" + now + "}";
  }
}
