package org.hornbeamusher.settings;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Files with keys and certificates in PEM format. They are reloaded while the process runs.
 *
 * @param certificateFile file with the certificate chain, own certificate first
 * @param privateKeyFile file with the private key in PKCS #8 format, not encrypted
 * @param trustedCertificates file with the CA certificates for peers; empty when peers present no
 *     certificates
 */
public record TlsSettings(
    Path certificateFile, Path privateKeyFile, Optional<Path> trustedCertificates) {}
