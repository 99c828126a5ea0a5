package review3;

import com.fasterxml.jackson.databind.JsonNode;

/** Status and body of an HTTP answer. */
record Reply(int status, JsonNode body) {}
