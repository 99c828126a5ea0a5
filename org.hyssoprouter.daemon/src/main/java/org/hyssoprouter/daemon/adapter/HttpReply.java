package org.hyssoprouter.daemon.adapter;

import org.jspecify.annotations.Nullable;

/**
 * Complete answer of an HTTP call.
 *
 * @param status HTTP status
 * @param refusalReason value of the header {@code Hyssop-Refused}, or null if absent
 * @param entityTag value of the header {@code ETag}, or null if absent
 * @param body content
 * @since 0.1
 */
public record HttpReply(
        int status, @Nullable String refusalReason, @Nullable String entityTag, byte[] body) {
    static final int OK = 200;
    static final int NO_CONTENT = 204;
    static final int NOT_MODIFIED = 304;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
}
