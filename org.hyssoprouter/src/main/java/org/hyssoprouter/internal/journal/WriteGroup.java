package org.hyssoprouter.internal.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.transport.Transaction;

/** Parts that are committed in one transaction, under one sequence of the heartbeat row. */
final class WriteGroup {
    private final long mSequence;
    private final List<GroupPart> mParts = new ArrayList<>();
    private final Map<String, Long> mCheckedVersions = new HashMap<>();
    private final Set<String> mWrittenKeys = new HashSet<>();
    private final Transaction mTransaction = Transaction.create();

    WriteGroup(long sequence, HeartbeatRow heartbeatRow, long heartbeatVersion) {
        mSequence = sequence;
        mTransaction.check(heartbeatRow.key(), heartbeatVersion);
        mTransaction.put(heartbeatRow.key(), heartbeatRow.encode(sequence));
    }

    long sequence() {
        return mSequence;
    }

    List<GroupPart> parts() {
        return mParts;
    }

    Transaction transaction() {
        return mTransaction;
    }

    /**
     * Adds a part, unless it depends on a write of a part that is already in the group.
     *
     * @return whether it was added
     */
    boolean add(GroupPart part) {
        Transaction added = part.transaction();
        if (dependsOnGroup(added)) {
            return false;
        }
        for (Transaction.Check check : added.checks()) {
            if (mCheckedVersions.put(check.key(), check.version()) == null) {
                mTransaction.check(check.key(), check.version());
            }
        }
        for (Transaction.Write write : added.writes()) {
            mWrittenKeys.add(write.key());
            mTransaction.writes().add(write);
        }
        mParts.add(part);
        return true;
    }

    private boolean dependsOnGroup(Transaction added) {
        for (Transaction.Check check : added.checks()) {
            Long version = mCheckedVersions.get(check.key());
            boolean isOtherVersion = version != null && version != check.version();
            if (isOtherVersion || mWrittenKeys.contains(check.key())) {
                return true;
            }
        }
        return added.writes().stream().anyMatch(write -> mWrittenKeys.contains(write.key()));
    }

    /** Returns whether a part checks a key. */
    static boolean checks(GroupPart part, String key) {
        return part.transaction().checks().stream().anyMatch(check -> check.key().equals(key));
    }
}
