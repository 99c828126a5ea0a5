package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.junit.jupiter.api.Test;

class ElectionTest {
    private final Election mElection =
            new Election(
                    new WorkflowSettings(
                            "a",
                            "run-2",
                            "127.0.0.1:1",
                            new SchedulerLimits(6_000, 900, 2_500),
                            1_500,
                            0.36),
                    50);

    private static OwnerRow row(String owner, String incarnation, boolean released) {
        return new OwnerRow(owner, incarnation, "127.0.0.1:2", 3, 7, released);
    }

    @Test
    void doesNotCampaignWhileOwnerCommits() {
        for (long version = 1; version < 20; version++) {
            mElection.onOwnerRow(Option.some(row("b", "run-1", false)), version);
            assertFalse(mElection.shouldCampaign(1_000 + version * 400));
        }
    }

    @Test
    void campaignsAfterOwnerTimeoutOnStoreClock() {
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        assertFalse(mElection.shouldCampaign(1_000 + Election.OWNER_TIMEOUT_MILLIS));
        assertTrue(mElection.shouldCampaign(1_000 + Election.OWNER_TIMEOUT_MILLIS + 500));
    }

    @Test
    void slowStoreExtendsOwnerTimeout() {
        mElection.recordRoundTrip(5);
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        mElection.recordRoundTrip(320);
        assertFalse(mElection.shouldCampaign(3_200));
        mElection.recordRoundTrip(5);
        assertTrue(mElection.shouldCampaign(3_200));
    }

    @Test
    void failedReadRequiresUninterruptedReadsBeforeCampaign() {
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        mElection.onReadFailed();
        assertFalse(mElection.shouldCampaign(9_000));
        assertFalse(mElection.shouldCampaign(9_900));
        assertTrue(mElection.shouldCampaign(9_000 + Election.MIN_CONTINUOUS_READ_MILLIS));
    }

    @Test
    void campaignsForReleasedRowAfterStagger() {
        mElection.onOwnerRow(Option.some(row("b", "run-1", true)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        assertTrue(mElection.shouldCampaign(1_000 + mElection.staggerMillis()));
    }

    @Test
    void takesOverBeforeTheTimeoutFromOwnerThatAsksForIt() {
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        mElection.onTakeoverRequested(new TakeoverRequest("run-1", 3));
        assertFalse(mElection.shouldCampaign(1_100), "needs uninterrupted reads first");
        long readMillis = 1_000 + Election.MIN_TAKEOVER_READ_MILLIS;
        assertTrue(mElection.shouldCampaign(readMillis + mElection.staggerMillis()));
    }

    @Test
    void takeoverRequestLapsesWhenOwnerCommitsAgain() {
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        mElection.onTakeoverRequested(new TakeoverRequest("run-1", 3));
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 2);
        assertFalse(mElection.shouldCampaign(1_500));
        assertFalse(mElection.shouldCampaign(2_000));
    }

    @Test
    void takeoverRequestOfFormerOwnerIsIgnored() {
        mElection.onOwnerRow(Option.some(row("b", "run-2", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        mElection.onTakeoverRequested(new TakeoverRequest("run-1", 2));
        assertFalse(mElection.shouldCampaign(1_900));
    }

    @Test
    void silentOwnerIsCheckedOnceForEachVersionOfItsRow() {
        mElection.setMaxCores(0.36);
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        assertTrue(mElection.ownerToCheck(1_000 + Election.OWNER_CHECK_MILLIS - 1).isEmpty());
        assertTrue(mElection.ownerToCheck(1_000 + Election.OWNER_CHECK_MILLIS).isDefined());
        assertTrue(mElection.ownerToCheck(1_000 + Election.OWNER_CHECK_MILLIS).isEmpty());
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 2);
        assertTrue(mElection.ownerToCheck(2_000).isEmpty(), "the row has just changed");
    }

    @Test
    void restartedOwnerCampaignsAtOnce() {
        mElection.onOwnerRow(Option.some(row("a", "run-1", false)), 1);
        assertTrue(mElection.shouldCampaign(1_000));
    }

    @Test
    void olderVersionOfRowIsIgnored() {
        mElection.onOwnerRow(Option.some(row("b", "run-1", false)), 5);
        mElection.onOwnerRow(Option.some(row("b", "run-1", true)), 4);
        assertFalse(mElection.row().get().released());
    }

    @Test
    void daemonWithLowCpuCampaignsLater() {
        long defaultMillis = mElection.staggerMillis();
        mElection.setMaxCores(0.36);
        assertEquals(defaultMillis, mElection.staggerMillis());
        mElection.setMaxCores(1.5);
        assertEquals(defaultMillis + Election.LOW_CPU_DELAY_MILLIS, mElection.staggerMillis());
    }

    @Test
    void restartedOwnerWithLowCpuWaitsForTimeout() {
        mElection.setMaxCores(1.5);
        mElection.onOwnerRow(Option.some(row("a", "run-1", false)), 1);
        assertFalse(mElection.shouldCampaign(1_000));
        assertTrue(
                mElection.shouldCampaign(
                        1_000 + Election.OWNER_TIMEOUT_MILLIS + mElection.staggerMillis()));
    }

    @Test
    void shorterRoundTripReducesStagger() {
        long defaultMillis = mElection.staggerMillis();
        mElection.recordRoundTrip(10);
        assertTrue(mElection.staggerMillis() < defaultMillis);
    }
}
