package org.hyssoprouter.daemon.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes hashes on which all daemons must agree. */
final class Hashes {
    private Hashes() {}

    /** Returns the SHA-256 hash of a name and a content, separated by a zero byte. */
    static byte[] sha256(String name, byte[] content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(name.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return digest.digest(content);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
