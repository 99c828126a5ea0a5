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

/** Queues requests for the executors of one service. Safe for use by several threads. */
final class ServiceQueue {
    private static final int PERCENT = 100;

    private final String mService;
    private final SlotTracker mSlotTracker;
    private final ReentrantLock mLock = new ReentrantLock();
    // Both are guarded by mLock.
    private final FairQueue<PendingRequest> mQueue = new FairQueue<>();
    private final AdmissionControl mAdmission = new AdmissionControl();

    ServiceQueue(String service, SlotTracker slotTracker) {
        mService = service;
        mSlotTracker = slotTracker;
    }

    /** Queues a request, or returns the refusal if it cannot be queued. */
    Option<Refusal> offer(PendingRequest request, long nowMillis) {
        String customer = request.order().customer();
        ServiceLoad load = mSlotTracker.load(mService, 0);
        mLock.lock();
        try {
            TrafficClass trafficClass = request.order().trafficClass();
            int slots = usableSlots(request, load.slots());
            int free = slots - Math.min(slots, load.inUse());
            long waitMillis =
                    mAdmission.expectedWaitMillis(mQueue, trafficClass, customer, slots, free);
            Option<Refusal> refusal =
                    mAdmission.checkDeadline(
                            trafficClass, waitMillis, request.remainingMillis(nowMillis));
            if (refusal.isDefined()) {
                return refusal;
            }
            if (mQueue.sizeOf(customer) >= request.policy().maxQueuedRequests()) {
                return Option.some(queueFull(waitMillis));
            }
            long costMillis = mAdmission.meanServiceMillis(trafficClass);
            mQueue.add(trafficClass, customer, request.policy().weight(), costMillis, request);
            return Option.none();
        } finally {
            mLock.unlock();
        }
    }

    private static int usableSlots(PendingRequest request, int slots) {
        boolean bulk = request.order().trafficClass() == TrafficClass.BULK;
        return bulk ? Math.max(1, slots * request.policy().bulkSharePercent() / PERCENT) : slots;
    }

    private static Refusal queueFull(long waitMillis) {
        return Refusal.retryLater(
                RefusalCode.OVER_LIMIT,
                "the customer has reached its limit of queued requests",
                waitMillis);
    }

    /** Removes and returns the next request for which a slot is free, and reserves the slot. */
    Option<PendingRequest> poll() {
        mLock.lock();
        try {
            return mQueue.poll(this::acquireSlot);
        } finally {
            mLock.unlock();
        }
    }

    private boolean acquireSlot(PendingRequest request) {
        Option<SlotHold> hold =
                mSlotTracker.acquire(
                        mService,
                        request.order().trafficClass(),
                        request.policy().bulkSharePercent());
        hold.forEach(request::setSlotHold);
        return hold.isDefined();
    }

    void remove(PendingRequest request) {
        mLock.lock();
        try {
            mQueue.remove(request.order().trafficClass(), request.order().customer(), request);
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
