package org.hyssoprouter.daemon.request;

import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.request.AdmissionControl;
import org.hyssoprouter.internal.request.FairQueue;
import org.hyssoprouter.internal.request.SlotHold;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.LoadDigest.ServiceLoad;

/** Requests that wait for the executors of one service, under a lock of their own. */
final class ServiceQueue {
    private static final int PERCENT = 100;

    private final String mService;
    private final SlotTracker mSlotTracker;
    private final ReentrantLock mLock = new ReentrantLock();
    // Both are guarded by mLock.
    private final FairQueue<PendingRequest> mQueue = new FairQueue<>();
    private final AdmissionControl mAdmission = new AdmissionControl();

    ServiceQueue(String service, SlotTracker ledger) {
        mService = service;
        mSlotTracker = ledger;
    }

    /** Adds a request, or returns why it cannot wait. */
    Option<Refusal> offer(PendingRequest run, long nowMillis) {
        String customer = run.order().customer();
        ServiceLoad load = mSlotTracker.load(mService, 0);
        mLock.lock();
        try {
            TrafficClass trafficClass = run.order().trafficClass();
            int slots = usableSlots(run, load.slots());
            int free = slots - Math.min(slots, load.inUse());
            long waitMillis =
                    mAdmission.expectedWaitMillis(mQueue, trafficClass, customer, slots, free);
            Option<Refusal> refusal =
                    mAdmission.checkDeadline(
                            trafficClass, waitMillis, run.remainingMillis(nowMillis));
            if (refusal.isDefined()) {
                return refusal;
            }
            if (mQueue.sizeOf(customer) >= run.policy().maxQueuedRequests()) {
                return Option.some(queueFull(waitMillis));
            }
            long costMillis = mAdmission.meanServiceMillis(trafficClass);
            mQueue.add(trafficClass, customer, run.policy().weight(), costMillis, run);
            return Option.none();
        } finally {
            mLock.unlock();
        }
    }

    private static int usableSlots(PendingRequest run, int slots) {
        boolean bulk = run.order().trafficClass() == TrafficClass.BULK;
        return bulk ? Math.max(1, slots * run.policy().bulkSharePercent() / PERCENT) : slots;
    }

    private static Refusal queueFull(long waitMillis) {
        return Refusal.retryLater(
                RefusalCode.OVER_LIMIT, "too many requests of this customer wait", waitMillis);
    }

    /** Takes the next request that can start, its slot held. */
    Option<PendingRequest> poll() {
        mLock.lock();
        try {
            return mQueue.poll(this::acquireSlot);
        } finally {
            mLock.unlock();
        }
    }

    private boolean acquireSlot(PendingRequest run) {
        Option<SlotHold> hold =
                mSlotTracker.acquire(
                        mService, run.order().trafficClass(), run.policy().bulkSharePercent());
        hold.forEach(run::setSlotHold);
        return hold.isDefined();
    }

    void remove(PendingRequest run) {
        mLock.lock();
        try {
            mQueue.remove(run.order().trafficClass(), run.order().customer(), run);
        } finally {
            mLock.unlock();
        }
    }

    List<PendingRequest> drain() {
        mLock.lock();
        try {
            return mQueue.drain();
        } finally {
            mLock.unlock();
        }
    }

    void recordServiceTime(TrafficClass trafficClass, long serviceMillis) {
        mLock.lock();
        try {
            mAdmission.recordServiceTime(trafficClass, serviceMillis);
        } finally {
            mLock.unlock();
        }
    }

    long meanServiceMillis(TrafficClass trafficClass) {
        mLock.lock();
        try {
            return mAdmission.meanServiceMillis(trafficClass);
        } finally {
            mLock.unlock();
        }
    }

    ServiceLoad load() {
        return mSlotTracker.load(mService, size());
    }

    private int size() {
        mLock.lock();
        try {
            return mQueue.size();
        } finally {
            mLock.unlock();
        }
    }
}
