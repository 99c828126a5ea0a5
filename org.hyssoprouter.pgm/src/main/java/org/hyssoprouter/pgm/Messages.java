package org.hyssoprouter.pgm;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Messages for operators, from {@code messages.properties}. */
final class Messages {
    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.hyssoprouter.pgm.messages", Locale.ROOT);

    private Messages() {}

    static String format(String key, Object... values) {
        return MessageFormat.format(BUNDLE.getString(key), values);
    }
}
