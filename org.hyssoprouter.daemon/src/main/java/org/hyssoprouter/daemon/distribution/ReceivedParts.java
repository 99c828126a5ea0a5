package org.hyssoprouter.daemon.distribution;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;

/**
 * Parts received so far from one source of the changes to a version. A large answer comes in parts,
 * so that a slow link carries none of them twice when a call times out.
 */
final class ReceivedParts {
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private long mBase;
    private long mTarget;

    /** Returns the request that continues, or begins anew. */
    ConfigRequest request(long version, long waitMillis) {
        if (version != mBase) {
            mBytes.reset();
            mBase = version;
        }
        boolean begun = mBytes.size() > 0;
        return new ConfigRequest(version, waitMillis, begun ? mTarget : 0, mBytes.size());
    }

    /** Adds the part of a reply. Returns all bytes once they are complete. */
    Option<byte[]> add(ConfigReply reply) {
        boolean continues = reply.version() == mTarget && reply.offset() == mBytes.size();
        if (!continues) {
            mBytes.reset();
            mTarget = reply.version();
        }
        if (reply.offset() == mBytes.size()) {
            mBytes.writeBytes(reply.changes());
        }
        if (mBytes.size() < reply.totalBytes()) {
            return Option.none();
        }
        byte[] all = mBytes.toByteArray();
        mBytes.reset();
        return Option.some(all);
    }
}
