package org.hyssoprouter.daemon.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.Locale;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.util.MessageCodec;

/** Encodes and decodes configuration documents for the table and for the peer link. */
final class ConfigCodec {
    static final String HISTORY_PREFIX = "config/history/";

    private static final EventLogger LOG = EventLogger.of(ConfigCodec.class);

    private ConfigCodec() {}

    static String historyKey(long version) {
        return HISTORY_PREFIX + String.format(Locale.ROOT, "%012d", version);
    }

    static byte[] encode(ConfigDocument document) {
        try {
            return MessageCodec.json().writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode the configuration document", e);
        }
    }

    /** Returns the decoded document; logs an error and returns none if it cannot be decoded. */
    static Option<ConfigDocument> decode(byte[] bytes) {
        try {
            return Option.of(MessageCodec.json().readValue(bytes, ConfigDocument.class));
        } catch (IOException e) {
            LOG.log(LogEvent.CONFIG_UNREADABLE, e, e.getClass().getSimpleName());
            return Option.none();
        }
    }
}
