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

/** The workers of a shard and their leases; guarded by the shard's lock. */
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
            JobScheduler book,
            LeaseTiming timing,
            boolean settledBySilence,
            long revision,
            long nowMillis) {
        mScheduler = book;
        mTiming = timing;
        mSilenceProvesExpiry = settledBySilence;
        mRevisionAtTakeover = revision;
        mTakeoverMillis = nowMillis;
    }

    @Nullable TrackedWorker get(String worker) {
        return mWorkers.get(worker);
    }

    Collection<TrackedWorker> all() {
        return mWorkers.values();
    }

    /** Takes over the newest host list. */
    void updateHosts(List<HostInfo> hosts, long revision, long nowMillis) {
        mHostListRevision = revision;
        Set<String> listed = new HashSet<>();
        for (HostInfo host : hosts) {
            listed.add(host.worker());
            mScheduler.fleet().putWorker(host.worker(), host.rack(), host.capacity());
            TrackedWorker link = mWorkers.get(host.worker());
            if (link == null) {
                mWorkers.put(host.worker(), createWorker(host, nowMillis));
            } else {
                link.setHost(host);
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

    /** Brings the fleet in line with leases and the host list. */
    void updateFleet(long nowMillis, long wallMillis) {
        Fleet fleet = mScheduler.fleet();
        for (TrackedWorker link : List.copyOf(mWorkers.values())) {
            String worker = link.host().worker();
            boolean drained = mScheduler.isDrained(worker);
            updateUsable(link, nowMillis);
            if (link.lease().hasExpired(nowMillis)) {
                mScheduler.onLeaseExpired(worker, nowMillis, wallMillis);
                link.markReconciled();
            }
            if (link.isLeaving(drained) && fleet.hasAttempts(worker)) {
                mScheduler.evacuate(worker);
            }
            if (!link.isListed() && !fleet.hasAttempts(worker) && link.isReconciled()) {
                mWorkers.remove(worker);
                fleet.removeWorker(worker);
            }
        }
        expireUnlistedWorkers(nowMillis, wallMillis);
        updateInventoryState(nowMillis);
    }

    /** Notes when it has become known what ran on every worker at the takeover. */
    void updateInventoryState(long nowMillis) {
        mInventoryComplete = mInventoryComplete || areAllWorkersReconciled(nowMillis);
    }

    /** Decides whether a worker may receive new work. */
    void updateUsable(TrackedWorker link, long nowMillis) {
        String worker = link.host().worker();
        boolean usable = link.isUsable(mScheduler.isDrained(worker), nowMillis);
        mScheduler.setUsable(worker, usable, nowMillis);
    }

    /** Ends the attempts of workers that no list has named since the takeover. */
    private void expireUnlistedWorkers(long nowMillis, long wallMillis) {
        boolean provable = mSilenceProvesExpiry || mHostListRevision > mRevisionAtTakeover;
        if (mInventoryComplete || !provable || !areFormerLeasesExpired(nowMillis)) {
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
     * The list must be newer than the takeover, so that no worker of the former owner is missing;
     * without one, all leases must have lapsed.
     */
    private boolean areAllWorkersReconciled(long nowMillis) {
        boolean newList = mHostListRevision > mRevisionAtTakeover;
        if (!newList && !(mSilenceProvesExpiry && areFormerLeasesExpired(nowMillis))) {
            return false;
        }
        if (mWorkers.isEmpty()) {
            return false;
        }
        for (TrackedWorker link : mWorkers.values()) {
            if (!link.isReconciled()) {
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

    /** Returns whether it is known what ran on every worker at the takeover. */
    boolean isInventoryComplete() {
        return mInventoryComplete;
    }

    /** Returns the renewals to send now; each counts as sent. */
    List<Renewal> takeDueRenewals(long nowMillis) {
        List<Renewal> due = new ArrayList<>();
        for (TrackedWorker link : mWorkers.values()) {
            if (!link.isRenewalDue(nowMillis)) {
                continue;
            }
            String worker = link.host().worker();
            boolean used = mScheduler.fleet().hasAttempts(worker);
            long grantMillis = link.lease().maxGrantMillis(nowMillis);
            List<AttemptId> acknowledged = link.onRenewalSent(used, grantMillis, nowMillis);
            String address = link.host().address();
            long notAfterMillis = link.renewalNotAfterMillis(nowMillis);
            due.add(
                    new Renewal(
                            worker, address, grantMillis, notAfterMillis, acknowledged, nowMillis));
        }
        return due;
    }

    /** Returns the names of the workers of which it is not yet known what runs on them. */
    String unreconciledNames() {
        List<String> names = new ArrayList<>();
        for (TrackedWorker link : mWorkers.values()) {
            if (!link.isReconciled()) {
                names.add(link.host().worker());
            }
        }
        return names.size() > 5 ? names.size() + " workers" : String.join(", ", names);
    }

    /**
     * A renewal to send.
     *
     * @param leaseMillis time for which it grants the lease
     * @param notAfterMillis instant on the worker's clock after which it is refused, or 0
     * @param sentMillis monotonic time before it is sent
     */
    record Renewal(
            String worker,
            String address,
            long leaseMillis,
            long notAfterMillis,
            List<AttemptId> acknowledged,
            long sentMillis) {}
}
