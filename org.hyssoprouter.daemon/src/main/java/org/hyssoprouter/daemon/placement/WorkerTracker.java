package org.hyssoprouter.daemon.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.internal.placement.Fleet;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.internal.placement.LeaseTiming;
import org.hyssoprouter.internal.placement.WorkerLease;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the workers of a shard, their leases and, after a takeover, whether the attempts that run
 * on them are known. Guarded by the shard's lock.
 */
final class WorkerTracker {
    private final Map<String, TrackedWorker> mWorkers = new LinkedHashMap<>();
    private final JobScheduler mScheduler;
    private final LeaseTiming mTiming;
    private final boolean mSilenceProvesExpiry;
    private final long mTakeoverMillis;
    private final long mRevisionAtTakeover;
    private long mHostListRevision;
    private boolean mInventoryComplete;

    WorkerTracker(
            JobScheduler scheduler,
            LeaseTiming timing,
            boolean silenceProvesExpiry,
            long revision,
            long nowMillis) {
        mScheduler = scheduler;
        mTiming = timing;
        mSilenceProvesExpiry = silenceProvesExpiry;
        mRevisionAtTakeover = revision;
        mTakeoverMillis = nowMillis;
    }

    @Nullable TrackedWorker get(String worker) {
        return mWorkers.get(worker);
    }

    Collection<TrackedWorker> all() {
        return mWorkers.values();
    }

    /** Applies a new host list. */
    void updateHosts(List<HostInfo> hosts, long revision, long nowMillis) {
        mHostListRevision = revision;
        Set<String> listed = new HashSet<>();
        for (HostInfo host : hosts) {
            listed.add(host.worker());
            mScheduler.fleet().putWorker(host.worker(), host.rack(), host.capacity());
            TrackedWorker tracked = mWorkers.get(host.worker());
            if (tracked == null) {
                mWorkers.put(host.worker(), createWorker(host, nowMillis));
            } else {
                tracked.setHost(host);
            }
        }
        for (Map.Entry<String, TrackedWorker> entry : mWorkers.entrySet()) {
            if (!listed.contains(entry.getKey())) {
                entry.getValue().markUnlisted();
            }
        }
    }

    private TrackedWorker createWorker(HostInfo host, long nowMillis) {
        WorkerLease lease = new WorkerLease(mTiming, mSilenceProvesExpiry, nowMillis);
        return new TrackedWorker(host, mTiming, lease);
    }

    /** Updates the scheduler's fleet from the leases and the host list. */
    void updateFleet(long nowMillis, long wallMillis) {
        Fleet fleet = mScheduler.fleet();
        for (TrackedWorker tracked : List.copyOf(mWorkers.values())) {
            String worker = tracked.host().worker();
            boolean drained = mScheduler.isDrained(worker);
            updateUsable(tracked, nowMillis);
            if (tracked.lease().hasExpired(nowMillis)) {
                mScheduler.onLeaseExpired(worker, nowMillis, wallMillis);
                tracked.markReconciled();
            }
            if (tracked.isLeaving(drained) && fleet.hasAttempts(worker)) {
                mScheduler.evacuate(worker);
            }
            if (!tracked.isListed() && !fleet.hasAttempts(worker) && tracked.isReconciled()) {
                mWorkers.remove(worker);
                fleet.removeWorker(worker);
            }
        }
        expireUnlistedWorkers(nowMillis, wallMillis);
        updateInventoryState(nowMillis);
    }

    /** Updates whether all attempts that were running at the takeover are known. */
    void updateInventoryState(long nowMillis) {
        mInventoryComplete = mInventoryComplete || areAllWorkersReconciled(nowMillis);
    }

    /** Updates whether the scheduler may place new tasks on a worker. */
    void updateUsable(TrackedWorker tracked, long nowMillis) {
        String worker = tracked.host().worker();
        boolean usable = tracked.isUsable(mScheduler.isDrained(worker), nowMillis);
        mScheduler.setUsable(worker, usable, nowMillis);
    }

    /** Ends the attempts of workers that no host list has contained since the takeover. */
    private void expireUnlistedWorkers(long nowMillis, long wallMillis) {
        boolean leaseEndProvable = mSilenceProvesExpiry || mHostListRevision > mRevisionAtTakeover;
        if (mInventoryComplete || !leaseEndProvable || !areFormerLeasesExpired(nowMillis)) {
            return;
        }
        for (String worker : mScheduler.workersInUse()) {
            if (!mWorkers.containsKey(worker)) {
                mScheduler.onLeaseExpired(worker, nowMillis, wallMillis);
            }
        }
    }

    private boolean areFormerLeasesExpired(long nowMillis) {
        return nowMillis - mTakeoverMillis >= mTiming.takeoverExpiryMillis();
    }

    /**
     * Returns whether all workers are tracked and reconciled. The host list must be newer than the
     * takeover, so that no worker of the former owner is missing; without such a list, all leases
     * of the former owner must have expired.
     */
    private boolean areAllWorkersReconciled(long nowMillis) {
        boolean listAfterTakeover = mHostListRevision > mRevisionAtTakeover;
        if (!listAfterTakeover && !(mSilenceProvesExpiry && areFormerLeasesExpired(nowMillis))) {
            return false;
        }
        if (mWorkers.isEmpty()) {
            return false;
        }
        for (TrackedWorker tracked : mWorkers.values()) {
            if (!tracked.isReconciled()) {
                return false;
            }
        }
        for (String worker : mScheduler.workersInUse()) {
            if (!mWorkers.containsKey(worker)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether all attempts that were running at the takeover are known. */
    boolean isInventoryComplete() {
        return mInventoryComplete;
    }

    /** Returns the renewals that are due and records them as sent. */
    List<Renewal> takeDueRenewals(long nowMillis) {
        List<Renewal> due = new ArrayList<>();
        for (TrackedWorker tracked : mWorkers.values()) {
            if (!tracked.isRenewalDue(nowMillis)) {
                continue;
            }
            String worker = tracked.host().worker();
            boolean busy = mScheduler.fleet().hasAttempts(worker);
            long grantMillis = tracked.lease().maxGrantMillis(nowMillis);
            List<AttemptId> acknowledged = tracked.onRenewalSent(busy, grantMillis, nowMillis);
            String address = tracked.host().address();
            long notAfterMillis = tracked.renewalNotAfterMillis(nowMillis);
            due.add(
                    new Renewal(
                            worker, address, grantMillis, notAfterMillis, acknowledged, nowMillis));
        }
        return due;
    }

    /** Returns the names of the workers not reconciled yet, or their number if more than 5. */
    String unreconciledNames() {
        List<String> names = new ArrayList<>();
        for (TrackedWorker tracked : mWorkers.values()) {
            if (!tracked.isReconciled()) {
                names.add(tracked.host().worker());
            }
        }
        return names.size() > 5 ? names.size() + " workers" : String.join(", ", names);
    }

    /**
     * A lease renewal to send to a worker.
     *
     * @param leaseMillis duration of the granted lease
     * @param notAfterMillis time on the worker's clock after which the worker rejects it; 0 for no
     *     limit
     * @param acknowledged ended attempts that the worker may drop
     * @param sentMillis monotonic time just before it is sent
     */
    record Renewal(
            String worker,
            String address,
            long leaseMillis,
            long notAfterMillis,
            List<AttemptId> acknowledged,
            long sentMillis) {}
}
