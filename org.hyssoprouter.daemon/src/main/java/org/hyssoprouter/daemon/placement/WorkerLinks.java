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
final class WorkerLinks {
    private final Map<String, WorkerLink> mLinks = new LinkedHashMap<>();
    private final JobScheduler mBook;
    private final LeaseTiming mTiming;
    private final boolean mSettledBySilence;
    private final long mTakeoverMillis;
    private final long mRevisionAtTakeover;
    private long mRevision;
    private boolean mSettled;

    WorkerLinks(
            JobScheduler book,
            LeaseTiming timing,
            boolean settledBySilence,
            long revision,
            long nowMillis) {
        mBook = book;
        mTiming = timing;
        mSettledBySilence = settledBySilence;
        mRevisionAtTakeover = revision;
        mTakeoverMillis = nowMillis;
    }

    @Nullable WorkerLink get(String worker) {
        return mLinks.get(worker);
    }

    Collection<WorkerLink> all() {
        return mLinks.values();
    }

    /** Takes over the newest host list. */
    void refresh(List<HostInfo> hosts, long revision, long nowMillis) {
        mRevision = revision;
        Set<String> listed = new HashSet<>();
        for (HostInfo host : hosts) {
            listed.add(host.worker());
            mBook.fleet().putWorker(host.worker(), host.rack(), host.capacity());
            WorkerLink link = mLinks.get(host.worker());
            if (link == null) {
                mLinks.put(host.worker(), open(host, nowMillis));
            } else {
                link.setHost(host);
            }
        }
        for (Map.Entry<String, WorkerLink> entry : mLinks.entrySet()) {
            if (!listed.contains(entry.getKey())) {
                entry.getValue().setUnlisted();
            }
        }
    }

    private WorkerLink open(HostInfo host, long nowMillis) {
        WorkerLease lease = new WorkerLease(mTiming, mSettledBySilence, nowMillis);
        return new WorkerLink(host, mTiming, lease);
    }

    /** Brings the fleet in line with leases and the host list. */
    void review(long nowMillis, long wallMillis) {
        Fleet fleet = mBook.fleet();
        for (WorkerLink link : List.copyOf(mLinks.values())) {
            String worker = link.host().worker();
            boolean drained = mBook.isDrained(worker);
            reviewUse(link, nowMillis);
            if (link.lease().hasExpired(nowMillis)) {
                mBook.onLeaseExpired(worker, nowMillis, wallMillis);
                link.setSettled();
            }
            if (link.isLeaving(drained) && fleet.hasAttempts(worker)) {
                mBook.evacuate(worker);
            }
            if (!link.isListed() && !fleet.hasAttempts(worker) && link.isSettled()) {
                mLinks.remove(worker);
                fleet.removeWorker(worker);
            }
        }
        lapseUnknownWorkers(nowMillis, wallMillis);
        reviewInventory(nowMillis);
    }

    /** Notes when it has become known what ran on every worker at the takeover. */
    void reviewInventory(long nowMillis) {
        mSettled = mSettled || isInventoryComplete(nowMillis);
    }

    /** Decides whether a worker may receive new work. */
    void reviewUse(WorkerLink link, long nowMillis) {
        String worker = link.host().worker();
        boolean usable = link.isUsable(mBook.isDrained(worker), nowMillis);
        mBook.setUsable(worker, usable, nowMillis);
    }

    /** Ends the attempts of workers that no list has named since the takeover. */
    private void lapseUnknownWorkers(long nowMillis, long wallMillis) {
        boolean provable = mSettledBySilence || mRevision > mRevisionAtTakeover;
        if (mSettled || !provable || !isPastTakeover(nowMillis)) {
            return;
        }
        for (String worker : mBook.workersInUse()) {
            if (!mLinks.containsKey(worker)) {
                mBook.onLeaseExpired(worker, nowMillis, wallMillis);
            }
        }
    }

    private boolean isPastTakeover(long nowMillis) {
        return nowMillis - mTakeoverMillis >= mTiming.takeoverExpiryMillis();
    }

    /**
     * The list must be newer than the takeover, so that no worker of the former owner is missing;
     * without one, all leases must have lapsed.
     */
    private boolean isInventoryComplete(long nowMillis) {
        boolean newList = mRevision > mRevisionAtTakeover;
        if (!newList && !(mSettledBySilence && isPastTakeover(nowMillis))) {
            return false;
        }
        if (mLinks.isEmpty()) {
            return false;
        }
        for (WorkerLink link : mLinks.values()) {
            if (!link.isSettled()) {
                return false;
            }
        }
        for (String worker : mBook.workersInUse()) {
            if (!mLinks.containsKey(worker)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether it is known what ran on every worker at the takeover. */
    boolean isSettled() {
        return mSettled;
    }

    /** Returns the renewals to send now; each counts as sent. */
    List<Renewal> dueRenewals(long nowMillis) {
        List<Renewal> due = new ArrayList<>();
        for (WorkerLink link : mLinks.values()) {
            if (!link.isRenewalDue(nowMillis)) {
                continue;
            }
            String worker = link.host().worker();
            boolean used = mBook.fleet().hasAttempts(worker);
            long grantMillis = link.lease().maxGrantMillis(nowMillis);
            List<AttemptId> acknowledged = link.renewalSent(used, grantMillis, nowMillis);
            String address = link.host().address();
            long notAfterMillis = link.renewalNotAfterMillis(nowMillis);
            due.add(
                    new Renewal(
                            worker, address, grantMillis, notAfterMillis, acknowledged, nowMillis));
        }
        return due;
    }

    /** Returns the names of the workers of which it is not yet known what runs on them. */
    String unsettledNames() {
        List<String> names = new ArrayList<>();
        for (WorkerLink link : mLinks.values()) {
            if (!link.isSettled()) {
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
