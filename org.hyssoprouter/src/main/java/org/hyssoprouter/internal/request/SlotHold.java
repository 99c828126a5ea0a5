package org.hyssoprouter.internal.request;

import org.hyssoprouter.lib.ExecutorInfo;

/**
 * A slot and a connection of one executor, reserved for one request by {@link SlotTracker}.
 *
 * @since 0.1
 */
public final class SlotHold {
    private final ExecutorSlots mSlots;
    private final boolean mBulk;
    private boolean mEnded;

    SlotHold(ExecutorSlots slots, boolean bulk) {
        mSlots = slots;
        mBulk = bulk;
    }

    /** Returns the executor. */
    public ExecutorInfo executor() {
        return mSlots.info();
    }

    ExecutorSlots slots() {
        return mSlots;
    }

    boolean isBulk() {
        return mBulk;
    }

    /** Marks the hold as ended; returns false if it had already ended. */
    boolean end() {
        boolean wasHeld = !mEnded;
        mEnded = true;
        return wasHeld;
    }
}
