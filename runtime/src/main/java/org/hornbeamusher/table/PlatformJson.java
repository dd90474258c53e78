package org.hornbeamusher.table;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.table.Transaction.Condition;
import org.hornbeamusher.table.Transaction.Write;

/** The JSON formats of {@code docs/PLATFORM-INTERFACE.md}; row values are encoded in base64. */
public final class PlatformJson {

  private static final ObjectMapper JSON =
      new ObjectMapper()
          .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private PlatformJson() {}

  /**
   * Encodes a record as JSON.
   *
   * @param form one of the records of this class
   * @return JSON
   */
  public static byte[] encode(Object form) {
    try {
      return JSON.writeValueAsBytes(form);
    } catch (JsonProcessingException e) {
      throw HornbeamusherException.notRun(FailureType.INTERNAL, e.getMessage()).causedBy(e);
    }
  }

  /**
   * Decodes a record from JSON.
   *
   * @param <T> type of the record
   * @param json the JSON text
   * @param form one of the records of this class
   * @return the decoded record
   * @throws HornbeamusherException of type {@code PLATFORM_MALFORMED} if the text is not such JSON
   */
  public static <T> T decode(byte[] json, Class<T> form) {
    T value;
    try {
      value = JSON.readValue(json, form);
    } catch (IOException e) {
      throw malformed("it is not the expected JSON").causedBy(e);
    }
    if (value == null) {
      throw malformed("it is null");
    }
    return value;
  }

  private static HornbeamusherException malformed(String why) {
    return HornbeamusherException.notRun(FailureType.PLATFORM_MALFORMED, why);
  }

  private static <T> List<T> orEmpty(List<T> list) {
    return list == null ? List.of() : list;
  }

  /**
   * A row.
   *
   * @param table its table
   * @param key its key
   * @param revision its revision
   * @param value its content
   */
  public record RowForm(String table, String key, long revision, byte[] value) {

    static RowForm of(Row row) {
      return new RowForm(row.key().table(), row.key().key(), row.revision(), row.value());
    }

    Row toRow() {
      if (table == null || key == null || value == null) {
        throw malformed("a row lacks a part");
      }
      return new Row(new RowKey(table, key), revision, value);
    }
  }

  /**
   * The response to a read or a scan.
   *
   * @param rows the rows found
   */
  public record Rows(List<RowForm> rows) {

    /**
     * Converts rows to their JSON form.
     *
     * @param rows the rows
     * @return their JSON form
     */
    public static Rows of(List<Row> rows) {
      return new Rows(rows.stream().map(RowForm::of).toList());
    }

    List<Row> toRows() {
      if (rows == null) {
        throw malformed("it lacks rows");
      }
      return rows.stream().map(RowForm::toRow).toList();
    }
  }

  /**
   * A condition on a row.
   *
   * @param table the row's table
   * @param key the row's key
   * @param revision the revision that the row must have; 0 if it must not exist
   */
  public record ConditionForm(String table, String key, long revision) {

    static ConditionForm of(Condition condition) {
      long revision =
          switch (condition) {
            case Condition.Absent absent -> 0;
            case Condition.AtRevision at -> at.revision();
          };
      return new ConditionForm(condition.key().table(), condition.key().key(), revision);
    }

    Condition toCondition() {
      RowKey row = requireKey(table, key);
      return revision == 0 ? new Condition.Absent(row) : new Condition.AtRevision(row, revision);
    }
  }

  /**
   * A write of a row.
   *
   * @param table the row's table
   * @param key the row's key
   * @param value the new content; null to delete the row
   */
  public record WriteForm(String table, String key, byte[] value) {

    static WriteForm of(Write write) {
      byte[] value =
          switch (write) {
            case Write.Put put -> put.value();
            case Write.Delete delete -> null;
          };
      return new WriteForm(write.key().table(), write.key().key(), value);
    }

    Write toWrite() {
      RowKey row = requireKey(table, key);
      return value == null ? new Write.Delete(row) : new Write.Put(row, value);
    }
  }

  /**
   * A transaction.
   *
   * @param conditions conditions that must all hold
   * @param writes the writes to apply
   */
  public record CommitRequest(List<ConditionForm> conditions, List<WriteForm> writes) {

    /**
     * Converts a transaction to its JSON form.
     *
     * @param transaction the transaction
     * @return its JSON form
     */
    public static CommitRequest of(Transaction transaction) {
      return new CommitRequest(
          transaction.conditions().stream().map(ConditionForm::of).toList(),
          transaction.writes().stream().map(WriteForm::of).toList());
    }

    /**
     * Returns the transaction.
     *
     * @return the decoded transaction
     */
    public Transaction toTransaction() {
      return new Transaction(
          orEmpty(conditions).stream().map(ConditionForm::toCondition).toList(),
          orEmpty(writes).stream().map(WriteForm::toWrite).toList());
    }
  }

  /**
   * The response to a transaction.
   *
   * @param committed whether it took effect
   * @param conflict the row whose condition failed; null if committed
   */
  public record CommitResponse(boolean committed, ConflictForm conflict) {

    /**
     * Converts a result to its JSON form.
     *
     * @param result the result
     * @return its JSON form
     */
    public static CommitResponse of(CommitResult result) {
      return switch (result) {
        case CommitResult.Committed committed -> new CommitResponse(true, null);
        case CommitResult.Conflict conflict ->
            new CommitResponse(
                false,
                new ConflictForm(
                    conflict.key().table(),
                    conflict.key().key(),
                    conflict.current().map(RowForm::of).orElse(null)));
      };
    }

    CommitResult toResult() {
      if (committed) {
        return new CommitResult.Committed();
      }
      if (conflict == null) {
        throw malformed("it is neither a commit nor a conflict");
      }
      RowKey row = requireKey(conflict.table(), conflict.key());
      return new CommitResult.Conflict(
          row, Optional.ofNullable(conflict.current()).map(RowForm::toRow));
    }
  }

  /**
   * A condition that failed.
   *
   * @param table the row's table
   * @param key the row's key
   * @param current the current row; null if there is none
   */
  public record ConflictForm(String table, String key, RowForm current) {}

  /**
   * An instance.
   *
   * @param id identifies the instance
   * @param host its IP address
   * @param port the port on which its process listens for peers
   * @param role {@code entry} or {@code agent}
   * @param availabilityZone its availability zone
   * @param pool its pool
   * @param leaving whether it is about to be terminated
   */
  public record InstanceForm(
      String id,
      String host,
      int port,
      String role,
      String availabilityZone,
      String pool,
      boolean leaving) {

    static InstanceForm of(Instance instance) {
      return new InstanceForm(
          instance.id(),
          instance.host(),
          instance.port(),
          instance.role().name().toLowerCase(Locale.ROOT),
          instance.zone().value(),
          instance.pool().value(),
          instance.leaving());
    }

    /**
     * Returns the instance.
     *
     * @return the decoded instance
     */
    public Instance toInstance() {
      if (id == null || host == null || role == null) {
        throw malformed("an instance lacks a part");
      }
      try {
        return new Instance(
            id,
            host,
            port,
            Instance.Role.valueOf(role.toUpperCase(Locale.ROOT)),
            new AvailabilityZone(availabilityZone),
            new PoolName(pool),
            leaving);
      } catch (IllegalArgumentException e) {
        throw malformed("instance " + id + " has a part of another form").causedBy(e);
      }
    }
  }

  /**
   * The instance list.
   *
   * @param instances the instances
   */
  public record Instances(List<InstanceForm> instances) {

    /**
     * Converts a list of instances to its JSON form.
     *
     * @param list the instances
     * @return its JSON form
     */
    public static Instances of(List<Instance> list) {
      return new Instances(list.stream().map(InstanceForm::of).toList());
    }

    /** Decodes the list; an unreadable instance is skipped, so that the others stay usable. */
    List<Instance> list() {
      if (instances == null) {
        throw malformed("it lacks instances");
      }
      List<Instance> readable = new ArrayList<>();
      for (InstanceForm form : instances) {
        try {
          readable.add(form.toInstance());
        } catch (HornbeamusherException e) {
          continue;
        }
      }
      return readable;
    }
  }

  private static RowKey requireKey(String table, String key) {
    if (table == null || key == null) {
      throw malformed("a row's name is missing");
    }
    return new RowKey(table, key);
  }
}
