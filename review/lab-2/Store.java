import java.io.IOException;
import java.net.ServerSocket;
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

/** The platform's store: rows, the feed of changes, and a restore from a copy. */
final class Store {

  private static final Pattern ENTRY = Pattern.compile("\\{[^{}]*\\}");
  private static final int PAGE = 500;

  record Row(String table, String part, String key, String value, long version) {}

  record Change(long version, String table, String part, String key, String value) {}

  /** The state at one moment, from which the store can come back. */
  record Copy(Map<String, Row> rows, List<Change> log, long version) {}

  private final List<Http.Server> servers = new ArrayList<>();
  private TreeMap<String, Row> rows = new TreeMap<>();
  private List<Change> log = new ArrayList<>();
  private long version = 1;
  private int era = 1;
  private boolean away;

  /** Whether machines that use the second address are turned away with 503. */
  private volatile boolean turnsSecondAway;

  Store(String ip, int port) throws IOException {
    servers.add(new Http.Server(ip, port, this::handle));
  }

  /** Listens on a second address, so that one machine can be turned away while others are served. */
  void listenToo(String ip, int port) throws IOException {
    servers.add(
        new Http.Server(
            ip,
            port,
            (request, out) -> {
              if (turnsSecondAway) {
                out.send(503, "", "");
              } else {
                handle(request, out);
              }
            }));
  }

  void turnSecondAway(boolean turned) {
    turnsSecondAway = turned;
  }

  private static String id(String table, String part, String key) {
    return table + "\0" + part + "\0" + key;
  }

  synchronized long version() {
    return version;
  }

  synchronized int era() {
    return era;
  }

  /** A write of the operator or of a worker; empty while the store is away. */
  synchronized boolean put(String table, String key, String json) {
    if (away) {
      return false;
    }
    apply(++version, table, "", key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
    return true;
  }

  synchronized boolean remove(String table, String key) {
    if (away) {
      return false;
    }
    if (rows.containsKey(id(table, "", key))) {
      apply(++version, table, "", key, null);
      notifyAll();
    }
    return true;
  }

  private void apply(long at, String table, String part, String key, String value) {
    if (value == null) {
      rows.remove(id(table, part, key));
    } else {
      rows.put(id(table, part, key), new Row(table, part, key, value, at));
    }
    log.add(new Change(at, table, part, key, value));
  }

  synchronized Copy copy() {
    return new Copy(new TreeMap<>(rows), new ArrayList<>(log), version);
  }

  /** The store goes away: its connections end and new ones are refused with 503. */
  synchronized void goAway() {
    away = true;
    servers.forEach(Http.Server::resetConnections);
    notifyAll();
  }

  /** The store comes back from a copy; versions after it are given out again. */
  synchronized void comeBack(Copy from) {
    rows = new TreeMap<>(from.rows());
    log = new ArrayList<>(from.log());
    version = from.version();
    era++;
    away = false;
  }

  private void handle(Http.Request request, Http.Responder out) throws IOException {
    String path = request.path();
    Map<String, String> query = query(request.target());
    Lab.sleep(4);
    synchronized (this) {
      if (away) {
        out.reset();
        return;
      }
    }
    switch (path) {
      case "/-/rows-tx" -> transaction(request.body(), out);
      case "/-/rows-get" -> get(query, out);
      case "/-/rows-feed" -> feed(query, out);
      default -> answer(out, 404, "{}");
    }
  }

  private void answer(Http.Responder out, int status, String json) throws IOException {
    out.send(status, "Content-Type: application/json\r\nStore-Era: " + era() + "\r\n", json);
  }

  private String tail() {
    return "\"row_version\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
  }

  private static String json(Row row) {
    return "{\"table\":\"%s\",\"part\":\"%s\",\"key\":\"%s\",\"value\":\"%s\",\"row_version\":%d}"
        .formatted(row.table(), row.part(), row.key(), row.value(), row.version());
  }

  private void get(Map<String, String> query, Http.Responder out) throws IOException {
    StringBuilder body = new StringBuilder("{\"rows\":[");
    synchronized (this) {
      String table = query.getOrDefault("table", "");
      String part = query.getOrDefault("part", "");
      String from = query.getOrDefault("from", "");
      String to = query.getOrDefault("to", "");
      int limit = Math.min(PAGE, Integer.parseInt(query.getOrDefault("limit", "500")));
      int count = 0;
      boolean more = false;
      for (Row row : rows.values()) {
        if (!row.table().equals(table)
            || !row.part().equals(part)
            || row.key().compareTo(from) < 0
            || (!to.isEmpty() && row.key().compareTo(to) >= 0)) {
          continue;
        }
        if (count == limit) {
          more = true;
          break;
        }
        body.append(count++ == 0 ? "" : ",").append(json(row));
      }
      body.append("],\"has_more\":").append(more).append(',').append(tail());
    }
    answer(out, 200, body.toString());
  }

  private void feed(Map<String, String> query, Http.Responder out) throws IOException {
    String table = query.getOrDefault("table", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    StringBuilder body = new StringBuilder("{\"rows\":[");
    synchronized (this) {
      int asked = era;
      while (true) {
        if (away || era != asked) {
          out.reset();
          return;
        }
        if (after > version) {
          break;
        }
        int count = 0;
        for (Change change : log) {
          if (change.version() > after && change.table().equals(table)) {
            String text =
                change.value() == null
                    ? "{\"table\":\"%s\",\"part\":\"%s\",\"key\":\"%s\",\"deleted\":true,\"row_version\":%d}"
                        .formatted(table, change.part(), change.key(), change.version())
                    : json(new Row(table, change.part(), change.key(), change.value(), change.version()));
            body.append(count++ == 0 ? "" : ",").append(text);
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (count > 0 || left <= 0) {
          body.append("],").append(tail());
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      if (after > version) {
        body = null;
      }
    }
    answer(out, body == null ? 410 : 200, body == null ? "{}" : body.toString());
  }

  private void transaction(String body, Http.Responder out) throws IOException {
    Lab.sleep(3);
    String expected = section(body, "expected");
    String put = section(body, "put");
    String remove = section(body, "remove");
    String answer;
    int status = 200;
    synchronized (this) {
      for (String text : entries(expected)) {
        Row row = rows.get(id(field(text, "table"), field(text, "part"), field(text, "key")));
        long has = row == null ? 0 : row.version();
        if (has != Long.parseLong(number(text, "row_version"))) {
          status = 412;
        }
      }
      if (status == 200 && (put + remove).matches("(?s).*\"table\":\"(op|servers)\".*")) {
        status = 403;
      }
      if (status == 200) {
        version++;
        entries(put)
            .forEach(t -> apply(version, field(t, "table"), field(t, "part"), field(t, "key"), field(t, "value")));
        entries(remove)
            .forEach(t -> apply(version, field(t, "table"), field(t, "part"), field(t, "key"), null));
        notifyAll();
      }
      answer = status == 412 ? "{\"rows\":[]," + tail() : "{" + tail();
    }
    answer(out, status, answer);
  }

  private static String section(String body, String name) {
    Matcher at = Pattern.compile("\"" + name + "\"\\s*:\\s*\\[(.*?)\\]", Pattern.DOTALL).matcher(body);
    return at.find() ? at.group(1) : "";
  }

  private static List<String> entries(String text) {
    List<String> found = new ArrayList<>();
    Matcher at = ENTRY.matcher(text);
    while (at.find()) {
      found.add(at.group());
    }
    return found;
  }

  private static String field(String text, String name) {
    Matcher at = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(text);
    return at.find() ? at.group(1) : "";
  }

  private static String number(String text, String name) {
    Matcher at = Pattern.compile("\"" + name + "\"\\s*:\\s*(\\d+)").matcher(text);
    return at.find() ? at.group(1) : "0";
  }

  private static Map<String, String> query(String target) {
    Map<String, String> found = new HashMap<>();
    int at = target.indexOf('?');
    if (at >= 0) {
      for (String pair : target.substring(at + 1).split("&")) {
        int eq = pair.indexOf('=');
        found.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    return found;
  }
}
