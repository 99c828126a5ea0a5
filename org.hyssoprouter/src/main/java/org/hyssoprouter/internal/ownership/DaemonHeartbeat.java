package org.hyssoprouter.internal.ownership;

import io.vavr.control.Option;
import java.io.IOException;
import org.hyssoprouter.internal.journal.HeartbeatRow;
import org.hyssoprouter.util.MessageCodec;

/**
 * Encodes the heartbeat row of this daemon, which its group writer updates with each group commit.
 *
 * @since 0.1
 */
public final class DaemonHeartbeat implements HeartbeatRow {
    private final DaemonRow mIdentity;
    private volatile boolean mStopping;

    /** Creates the heartbeat of a daemon; the sequence of {@code identity} is ignored. */
    public DaemonHeartbeat(DaemonRow identity) {
        mIdentity = identity;
    }

    /** Marks the daemon as handing its shards over, in all later group commits. */
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
            boolean isOwnIncarnation = row.incarnation().equals(mIdentity.incarnation());
            return isOwnIncarnation ? Option.some(row.sequence()) : Option.none();
        } catch (IOException e) {
            return Option.none();
        }
    }
}
