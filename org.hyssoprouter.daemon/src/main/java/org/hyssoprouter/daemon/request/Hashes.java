package org.hyssoprouter.daemon.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hashes that every daemon computes alike. */
final class Hashes {
    private Hashes() {}

    /** Returns the SHA-256 of a name and a content. */
    static byte[] sha256(String name, byte[] content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(name.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return digest.digest(content);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the platform lacks SHA-256", e);
        }
    }
}
