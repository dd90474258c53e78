package org.hornbeamusher.security;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The keys in test resources are valid until 2126; the keys of their signers were not kept. */
class ReloadingTlsContextTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  @TempDir Path directory;

  @BeforeEach
  void installFirstKeys() throws Exception {
    install("marka-entry-1");
  }

  private static Path resource(String name) throws URISyntaxException {
    return Path.of(ReloadingTlsContextTest.class.getResource("/tls/" + name).toURI());
  }

  private void install(String name) throws IOException, URISyntaxException {
    copy(name + ".pem", "own.pem");
    copy(name + "-key.pem", "own-key.pem");
  }

  private void copy(String from, String to) throws IOException, URISyntaxException {
    Files.copy(resource(from), directory.resolve(to), StandardCopyOption.REPLACE_EXISTING);
  }

  private ReloadingTlsContext own() throws URISyntaxException {
    return ReloadingTlsContext.open(
        directory.resolve("own.pem"),
        directory.resolve("own-key.pem"),
        Optional.of(resource("ca.pem")));
  }

  private static ReloadingTlsContext peer(String name) throws URISyntaxException {
    return ReloadingTlsContext.open(
        resource(name + ".pem"), resource(name + "-key.pem"), Optional.of(resource("ca.pem")));
  }

  /** Connects once and returns the subject that the server saw. */
  private static String subjectSeen(SSLServerSocket server, ReloadingTlsContext client) {
    CompletableFuture<String> seen =
        CompletableFuture.supplyAsync(
            () -> {
              try (SSLSocket accepted = (SSLSocket) server.accept()) {
                accepted.setSoTimeout(TIMEOUT_MILLIS);
                accepted.startHandshake();
                accepted.getOutputStream().write(1);
                X509Certificate shown =
                    (X509Certificate) accepted.getSession().getPeerCertificates()[0];
                return shown.getSubjectX500Principal().getName();
              } catch (IOException e) {
                throw new CompletionException(e);
              }
            });
    try (SSLSocket socket =
        (SSLSocket)
            client
                .context()
                .getSocketFactory()
                .createSocket(InetAddress.getLoopbackAddress(), server.getLocalPort())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.startHandshake();
      socket.getInputStream().read();
    } catch (IOException e) {
      // Only the server's result matters; it is returned or thrown by the join.
      return seen.join();
    }
    return seen.join();
  }

  private static SSLServerSocket listen(ReloadingTlsContext context) throws IOException {
    SSLServerSocket server =
        (SSLServerSocket)
            context
                .context()
                .getServerSocketFactory()
                .createServerSocket(0, 1, InetAddress.getLoopbackAddress());
    server.setNeedClientAuth(true);
    return server;
  }

  /**
   * An operator replaces the files of a running process. Guards against the old keys being used
   * until a restart: a certificate that expires at night would disconnect the process from all its
   * peers.
   */
  @Test
  void newConnectionsPresentReplacedKeysWithoutRestart() throws Exception {
    ReloadingTlsContext client = own();
    try (SSLServerSocket server = listen(peer("marka-entry-2"))) {
      assertEquals("CN=marka-entry-1", subjectSeen(server, client));
      assertFalse(client.reload());
      install("marka-entry-2");
      assertTrue(client.reload());
      assertEquals("CN=marka-entry-2", subjectSeen(server, client));
    }
  }

  /**
   * A listening socket was created before the change; its next handshakes must use the new trusted
   * certificates.
   */
  @Test
  void listeningSocketUsesNewTrust() throws Exception {
    Path trusted = directory.resolve("trusted.pem");
    copy("ca.pem", "trusted.pem");
    ReloadingTlsContext context =
        ReloadingTlsContext.open(
            directory.resolve("own.pem"), directory.resolve("own-key.pem"), Optional.of(trusted));
    try (SSLServerSocket server = listen(context)) {
      ReloadingTlsContext stranger = peer("stranger");
      assertThrows(CompletionException.class, () -> subjectSeen(server, stranger));
      copy("other-ca.pem", "trusted.pem");
      assertTrue(context.reload());
      assertEquals("CN=stranger", subjectSeen(server, stranger));
    }
  }

  /**
   * Guards against a process outside the system being accepted by an agent: it could send requests
   * of any partner and read the responses.
   */
  @Test
  void untrustedPeerIsRejected() throws Exception {
    try (SSLServerSocket server = listen(own())) {
      ReloadingTlsContext stranger = peer("stranger");
      assertThrows(CompletionException.class, () -> subjectSeen(server, stranger));
    }
  }

  /**
   * The files are replaced one after the other, and the process reloads them in between: the new
   * key does not match the old certificate. It must continue with the keys it has.
   */
  @Test
  void partlyReplacedFilesKeepOldKeysInUse() throws Exception {
    ReloadingTlsContext client = own();
    copy("marka-entry-2-key.pem", "own-key.pem");
    assertFalse(client.reload());
    Files.writeString(directory.resolve("own-key.pem"), "cut off while it was written");
    assertFalse(client.reload());
    try (SSLServerSocket server = listen(peer("marka-entry-2"))) {
      assertEquals("CN=marka-entry-1", subjectSeen(server, client));
    }
  }

  @Test
  void unusableFilesCauseTypedFailureAtStart() throws Exception {
    Files.writeString(directory.resolve("own.pem"), "nothing");
    HornbeamusherException failure = assertThrows(HornbeamusherException.class, this::own);
    assertEquals(FailureType.SETTINGS_INVALID, failure.type());
  }
}
