package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.lib.Verdict;

/** Compares the bearer token of operators' calls in constant time. */
final class OperatorAuthenticator {
    private static final String HEADER = "Authorization";

    private final byte[] mExpected;

    OperatorAuthenticator(String token) {
        mExpected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Lets a call with the right token pass.
     *
     * @throws RefusalException with UNAUTHORIZED for any other call
     */
    void requireToken(Context context) {
        String sent = RequestHeaders.header(context, HEADER);
        byte[] given = sent == null ? new byte[0] : sent.getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(mExpected, given)) {
            String message = HEADER + ": expected the operators' token as 'Bearer TOKEN'";
            throw new RefusalException(
                    new Refusal(RefusalCode.UNAUTHORIZED, Verdict.NOT_RUN, message, HEADER, 0));
        }
    }
}
