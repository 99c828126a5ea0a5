package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/** Converts a daemon's refusal to an error with a hint on how to proceed. */
final class RefusalConverter {
    private static final String MAY_HAVE_RUN = "MAY_HAVE_RUN";

    private RefusalConverter() {}

    static CliError toError(JsonNode refusal) {
        String code = refusal.path("code").asText("UNKNOWN");
        String message = code + ": " + refusal.path("message").asText("no message");
        if (refusal.path("verdict").asText(MAY_HAVE_RUN).equals(MAY_HAVE_RUN)) {
            return CliError.of(ExitCode.UNKNOWN, message, "hint.lost");
        }
        return new CliError(ExitCode.REFUSED, message, hintFor(code, refusal));
    }

    private static String hintFor(String code, JsonNode refusal) {
        if (code.equals("UNAUTHORIZED")) {
            return Messages.format("hint.unauthorized");
        }
        if (code.equals("CONFLICT")) {
            return Messages.format("hint.conflict");
        }
        long retryAfterMillis = refusal.path("retryAfterMillis").asLong();
        if (retryAfterMillis > 0) {
            return Messages.format("hint.later", Long.toString(retryAfterMillis));
        }
        if (refusal.hasNonNull("field")) {
            return Messages.format("hint.field", refusal.get("field").asText());
        }
        return Messages.format("hint.refused");
    }
}
