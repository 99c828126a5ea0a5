package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;

class OwnershipConfirmationTest {
    private long mNowMillis = 1_000;
    private long mSuspendedMillis;
    private final PoolOwnershipConfirmation mConfirmation =
            new PoolOwnershipConfirmation(() -> mNowMillis, new TimeOfDay());

    @Test
    void ownershipIsConfirmedUntilOthersMayTakeOver() {
        mConfirmation.onBegun();
        mNowMillis += Election.OWNER_TIMEOUT_MILLIS - 1;
        assertTrue(mConfirmation.isConfirmed());
        mNowMillis++;
        assertFalse(mConfirmation.isConfirmed());
        commit(10);
        assertTrue(mConfirmation.isConfirmed());
    }

    // Guards against an owner that takes the pause of its own process for the store's slowness.
    @Test
    void singleLateAnswerDoesNotConfirm() {
        commit(10);
        commit(3_000);
        assertFalse(mConfirmation.isConfirmed());
        commit(10);
        assertTrue(mConfirmation.isConfirmed());
    }

    @Test
    void secondLateAnswerInARowConfirms() {
        commit(1_700);
        commit(1_700);
        assertTrue(mConfirmation.isConfirmed());
    }

    // Guards against an owner on a suspended machine, whose monotonic clock stands still.
    @Test
    void suspensionEndsTheConfirmation() {
        commit(10);
        mSuspendedMillis += 2_000;
        assertFalse(mConfirmation.isConfirmed());
    }

    private void commit(long durationMillis) {
        PoolOwnershipConfirmation.Moment sent = mConfirmation.now();
        mNowMillis += durationMillis;
        mConfirmation.onCommitted(sent);
    }

    private final class TimeOfDay extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(mNowMillis + mSuspendedMillis);
        }
    }
}
