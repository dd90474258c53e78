package org.hornbeamusher.settings;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Files that hold keys and certificates in PEM form. They are read again while the process runs.
 *
 * @param certificateFile the certificate chain, own certificate first
 * @param privateKeyFile the private key in PKCS #8 form, not encrypted
 * @param trustedCertificates the certificates of those who may sign a peer's; empty when peers show
 *     none
 */
public record TlsSettings(
    Path certificateFile, Path privateKeyFile, Optional<Path> trustedCertificates) {}
