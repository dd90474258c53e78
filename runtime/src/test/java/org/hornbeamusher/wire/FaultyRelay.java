package org.hornbeamusher.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A TCP relay between two peers. It can delay traffic, stop reading, and discard the traffic of the
 * open connections.
 */
final class FaultyRelay {

  private final InetSocketAddress target;
  private final ServerSocket server;
  private final List<AtomicBoolean> discardFlags = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile long delayMillis;
  private volatile boolean readingStopped;

  FaultyRelay(InetSocketAddress target) {
    this.target = target;
    try {
      this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void start() {
    Thread.ofVirtual().start(this::acceptLoop);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Discards all further traffic on the connections that are open now, without closing them. */
  void discardOnOpenConnections() {
    discardFlags.forEach(flag -> flag.set(true));
  }

  /** Delays each read of up to 4 KiB by this time from now on. */
  void slowDown(long delayPerReadMillis) {
    delayMillis = delayPerReadMillis;
  }

  /** Stops reading from the connections that are open now. */
  void stopReading() {
    readingStopped = true;
  }

  void stop() {
    close(server);
    sockets.forEach(FaultyRelay::close);
  }

  private void acceptLoop() {
    try {
      while (true) {
        Socket near = server.accept();
        Socket far = new Socket(target.getAddress(), target.getPort());
        AtomicBoolean flag = new AtomicBoolean();
        discardFlags.add(flag);
        sockets.add(near);
        sockets.add(far);
        readingStopped = false;
        Thread.ofVirtual().start(() -> relay(near, far, flag));
        Thread.ofVirtual().start(() -> relay(far, near, flag));
      }
    } catch (IOException e) {
      close(server);
    }
  }

  private void relay(Socket from, Socket to, AtomicBoolean discard) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[4_096];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!discard.get()) {
          out.write(buffer, 0, count);
        }
        Thread.sleep(delayMillis);
        if (readingStopped) {
          return;
        }
      }
    } catch (IOException e) {
      close(to);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // The socket is closed already.
    }
  }
}
