package org.hornbeamusher.suspects;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.watch.ChangedRow;
import org.hornbeamusher.watch.RowContent;
import org.hornbeamusher.watch.TableChanges;
import org.junit.jupiter.api.Test;

class CrashRecordTableTest {

  private static final PromptPartId PART = PromptPartId.of("5c1e07a2");

  private final CrashRecordTable table = new CrashRecordTable(new InMemoryTable());

  /** Guards against the cost of decoding all rows with each complete read. */
  @Test
  void unchangedRowIsNotDecodedAgain() {
    CrashRecord first = read(row("e-1", 1)).records().get(0);
    assertSame(first, read(row("e-1", 1)).records().get(0));
  }

  /** Guards against a record that hides what a table restored from a copy contains. */
  @Test
  void rowWithKnownRevisionAndOtherValueIsDecoded() {
    read(row("e-1", 1));
    assertEquals(List.of(record("e-2")), read(row("e-2", 1)).records());
    assertEquals(List.of(record("e-2")), read(row("e-2", 2)).records());
  }

  /** Guards against an unreadable row that is taken for a record when it is read again. */
  @Test
  void unreadableRowStaysUnreadable() {
    RowContent.Present broken = new RowContent.Present("x".getBytes(StandardCharsets.UTF_8), 1);
    for (int i = 0; i < 2; i++) {
      CrashRecordTable.Changes changes = read(broken);
      assertEquals(List.of(), changes.records());
      assertEquals(List.of(PART.toString()), changes.unreadable());
    }
  }

  private CrashRecordTable.Changes read(RowContent.Present row) {
    return table.received(new TableChanges(List.of(new ChangedRow(PART.toString(), row)), 1, true));
  }

  private static RowContent.Present row(String endpoint, long revision) {
    return new RowContent.Present(CrashRecordCodec.encode(record(endpoint)), revision);
  }

  private static CrashRecord record(String endpoint) {
    EndpointIncarnation crashed = new EndpointIncarnation(new EndpointId(endpoint), 5);
    return new CrashRecord(PART, List.of(new CrashRecord.Crash(crashed, false)));
  }
}
