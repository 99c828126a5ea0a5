package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.journal.GroupCommit;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.FailureDetector;
import org.hyssoprouter.transport.Transaction;

/**
 * Deletes the rows of daemons that have been dead for a long time and own no shard. Only the first
 * live daemon in the order of names deletes them.
 */
final class DeadDaemonRowCleaner {
    private static final long DELETE_AFTER_MILLIS = 60_000;
    private static final long COMMIT_TIMEOUT_MILLIS = 1000;

    private final String mOwnName;
    private final FailureDetector mFailureDetector;
    private final GroupCommit mGroupCommit;

    DeadDaemonRowCleaner(String ownName, FailureDetector failureDetector, GroupCommit groupCommit) {
        mOwnName = ownName;
        mFailureDetector = failureDetector;
        mGroupCommit = groupCommit;
    }

    void deleteDeadRows(CellView view, List<DaemonRow> live) {
        if (live.isEmpty() || !live.get(0).name().equals(mOwnName)) {
            return;
        }
        for (DaemonRow daemon : view.daemons()) {
            String key = CellKeys.daemon(daemon.name());
            boolean isOwner =
                    view.shards().stream().anyMatch(row -> row.owner().equals(daemon.name()));
            if (!isOwner
                    && mFailureDetector.millisWithoutHeartbeat(daemon.name())
                            >= DELETE_AFTER_MILLIS) {
                Transaction delete = Transaction.create().check(key, view.version(key)).delete(key);
                CompletableFuture<Either<TableError, Boolean>> unused =
                        mGroupCommit.commit(delete, COMMIT_TIMEOUT_MILLIS);
            }
        }
    }
}
