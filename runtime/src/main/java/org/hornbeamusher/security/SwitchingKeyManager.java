package org.hornbeamusher.security;

import java.net.Socket;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedKeyManager;

/** Passes every call on to the key manager in force. */
final class SwitchingKeyManager extends X509ExtendedKeyManager {

  private volatile X509ExtendedKeyManager inForce;

  void use(X509ExtendedKeyManager manager) {
    inForce = manager;
  }

  @Override
  public String[] getClientAliases(String keyType, Principal[] issuers) {
    return inForce.getClientAliases(keyType, issuers);
  }

  @Override
  public String chooseClientAlias(String[] keyType, Principal[] issuers, Socket socket) {
    return inForce.chooseClientAlias(keyType, issuers, socket);
  }

  @Override
  public String chooseEngineClientAlias(String[] keyType, Principal[] issuers, SSLEngine engine) {
    return inForce.chooseEngineClientAlias(keyType, issuers, engine);
  }

  @Override
  public String[] getServerAliases(String keyType, Principal[] issuers) {
    return inForce.getServerAliases(keyType, issuers);
  }

  @Override
  public String chooseServerAlias(String keyType, Principal[] issuers, Socket socket) {
    return inForce.chooseServerAlias(keyType, issuers, socket);
  }

  @Override
  public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
    return inForce.chooseEngineServerAlias(keyType, issuers, engine);
  }

  @Override
  public X509Certificate[] getCertificateChain(String alias) {
    return inForce.getCertificateChain(alias);
  }

  @Override
  public PrivateKey getPrivateKey(String alias) {
    return inForce.getPrivateKey(alias);
  }
}
