package org.hyssoprouter.daemon.distribution;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.jspecify.annotations.Nullable;

/** Encoded form of a {@link QueuePolicy}. */
record QueueEntry(
        String name,
        String host,
        String pathPrefix,
        String pool,
        int priority,
        int maxAttempts,
        QueuePolicy.Objective objective,
        QueuePolicy.@Nullable ApprovalPolicy approval,
        boolean keyRequired) {
    static QueueEntry of(QueuePolicy queue) {
        return new QueueEntry(
                queue.name(),
                queue.host(),
                queue.pathPrefix(),
                queue.pool(),
                queue.priority(),
                queue.maxAttempts(),
                queue.objective(),
                queue.approval().getOrNull(),
                queue.keyRequired());
    }

    QueuePolicy toPolicy() {
        return new QueuePolicy(
                name,
                host,
                pathPrefix,
                pool,
                priority,
                maxAttempts,
                objective,
                Option.of(approval),
                keyRequired);
    }
}
