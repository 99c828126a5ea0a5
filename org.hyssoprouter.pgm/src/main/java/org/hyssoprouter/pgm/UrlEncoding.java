package org.hyssoprouter.pgm;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Percent-encodes text for URL paths and queries. */
final class UrlEncoding {
    private UrlEncoding() {}

    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
