package org.hyssoprouter.daemon.workflow;

import java.util.Map;

/** Receives the events of an ownership. */
interface PoolOwnershipListener {
    /** The states have become durable. */
    void onStatesDurable(Map<String, WorkflowStatus> states);

    /** The store has refused the owner's commits for a while. */
    void onCommitsRefused(PoolOwner owner);

    /** The ownership is lost or released. */
    void onOwnershipLost(PoolOwner owner, String reason);
}
