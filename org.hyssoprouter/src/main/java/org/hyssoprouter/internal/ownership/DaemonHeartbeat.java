package org.hyssoprouter.internal.ownership;

import io.vavr.control.Option;
import java.io.IOException;
import org.hyssoprouter.internal.journal.HeartbeatRow;
import org.hyssoprouter.util.MessageCodec;

/**
 * Heartbeat row of this daemon, as its group writer raises it.
 *
 * @since 0.1
 */
public final class DaemonHeartbeat implements HeartbeatRow {
    private final DaemonRow mIdentity;
    private volatile boolean mStopping;

    /** Creates the row of a daemon; the identity's sequence is not used. */
    public DaemonHeartbeat(DaemonRow identity) {
        mIdentity = identity;
    }

    /** Says in all later groups that the daemon hands its shards over. */
    public void markStopping() {
        mStopping = true;
    }

    @Override
    public String key() {
        return CellKeys.daemon(mIdentity.name());
    }

    @Override
    public byte[] encode(long sequence) {
        return MessageCodec.encode(
                new DaemonRow(
                        mIdentity.name(),
                        mIdentity.incarnation(),
                        mIdentity.region(),
                        mIdentity.domain(),
                        mIdentity.httpAddress(),
                        mIdentity.peerAddress(),
                        sequence,
                        mStopping));
    }

    @Override
    public Option<Long> sequenceOf(byte[] value) {
        try {
            DaemonRow row = MessageCodec.decode(value, DaemonRow.class);
            boolean isOurs = row.incarnation().equals(mIdentity.incarnation());
            return isOurs ? Option.some(row.sequence()) : Option.none();
        } catch (IOException e) {
            return Option.none();
        }
    }
}
