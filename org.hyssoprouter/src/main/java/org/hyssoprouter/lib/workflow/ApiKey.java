package org.hyssoprouter.lib.workflow;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Key with which callers identify themselves as belonging to a workspace. Its text form does not
 * contain the key, so that keys do not get into logs.
 *
 * @param text key as callers send it
 * @since 0.3
 */
public record ApiKey(String text) {
    /** Enough to tell a workspace's keys apart, and too little to confirm a guess. */
    private static final int FINGERPRINT_BYTES = 3;

    /** Returns a short fingerprint of the key, the same on all hosts. */
    public String fingerprint() {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return "key#" + fingerprint();
    }
}
