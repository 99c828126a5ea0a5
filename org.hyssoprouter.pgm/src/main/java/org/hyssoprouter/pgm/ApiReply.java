package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Successful HTTP reply of a daemon.
 *
 * @param status HTTP status
 * @param body JSON body
 * @since 0.1
 */
public record ApiReply(int status, JsonNode body) {}
