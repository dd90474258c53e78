package org.hornbeamusher.server;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Runs the task of the current request when its connection closes.
 *
 * <p>Undertow's close listeners cannot be removed. One for each request would keep every request of
 * a persistent connection in memory until the connection closes.
 */
public final class ConnectionCloseTask {

  private static final AttachmentKey<ConnectionCloseTask> KEY =
      AttachmentKey.create(ConnectionCloseTask.class);

  private static final Runnable NONE = () -> {};

  private volatile Runnable task = NONE;

  private ConnectionCloseTask() {}

  /**
   * Replaces the task of a connection.
   *
   * @param connection the connection
   * @param task called at most once, on the I/O thread of the connection
   */
  public static void set(ServerConnection connection, Runnable task) {
    ConnectionCloseTask current = connection.getAttachment(KEY);
    if (current == null) {
      current = new ConnectionCloseTask();
      connection.putAttachment(KEY, current);
      connection.addCloseListener(current::closed);
    }
    current.task = task;
  }

  /**
   * Removes the task of a connection.
   *
   * @param connection the connection
   */
  public static void clear(ServerConnection connection) {
    ConnectionCloseTask current = connection.getAttachment(KEY);
    if (current != null) {
      current.task = NONE;
    }
  }

  private void closed(ServerConnection connection) {
    Runnable last = task;
    task = NONE;
    last.run();
  }
}
