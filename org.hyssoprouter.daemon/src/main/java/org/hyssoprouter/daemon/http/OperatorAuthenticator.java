package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.lib.Verdict;

/** Authenticates operators' calls by a bearer token, compared in constant time. */
final class OperatorAuthenticator {
    private static final String HEADER = "Authorization";

    private final byte[] mExpected;

    OperatorAuthenticator(String token) {
        mExpected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Checks that a call carries the expected token.
     *
     * @throws RefusalException with UNAUTHORIZED if the token is missing or wrong
     */
    void requireToken(Context context) {
        String header = RequestHeaders.header(context, HEADER);
        byte[] received = header == null ? new byte[0] : header.getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(mExpected, received)) {
            String message = HEADER + ": expected the operators' token as 'Bearer TOKEN'";
            throw new RefusalException(
                    new Refusal(RefusalCode.UNAUTHORIZED, Verdict.NOT_RUN, message, HEADER, 0));
        }
    }
}
