package org.hyssoprouter.internal.request;

import org.hyssoprouter.lib.ExecutorInfo;

/**
 * A slot and a connection of one executor, held for one request.
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

    /** Marks the hold as ended; returns false if it had ended before. */
    boolean end() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }
}
