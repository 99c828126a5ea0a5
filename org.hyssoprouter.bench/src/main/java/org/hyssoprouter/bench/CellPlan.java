package org.hyssoprouter.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.standin.process.PortAllocator;

/**
 * Describes the domains, hosts and daemon settings of a {@link Cell}.
 *
 * @since 0.1
 */
public final class CellPlan {
    /** Service that the executors of every plan provide. */
    public static final String SERVICE = "desk";

    private static final int WORKERS_PER_RACK = 4;

    private final List<Domain> mDomains = new ArrayList<>();
    private final Map<String, String> mSettings = new LinkedHashMap<>();
    private Room mCapacity = new Room(16_000, 32L << 30, 0);
    private int mSlots = 8;

    /**
     * A failure domain.
     *
     * @param name name of the domain
     * @param region region of the domain
     * @param daemons number of daemons
     * @param workers number of workers, each with one executor
     */
    public record Domain(String name, String region, int daemons, int workers) {}

    /** Adds a failure domain. */
    public CellPlan domain(String name, String region, int daemons, int workers) {
        mDomains.add(new Domain(name, region, daemons, workers));
        return this;
    }

    /** Sets a key in the settings file of every daemon. */
    public CellPlan setting(String key, Object value) {
        mSettings.put(key, value.toString());
        return this;
    }

    /** Sets the capacity of each worker. */
    public CellPlan capacity(Room capacity) {
        mCapacity = capacity;
        return this;
    }

    /** Sets the number of slots of each executor. */
    public CellPlan slots(int slots) {
        mSlots = slots;
        return this;
    }

    List<Domain> domains() {
        return mDomains;
    }

    Map<String, String> settings() {
        return mSettings;
    }

    List<HostInfo> hosts(PortAllocator ports) {
        List<HostInfo> hosts = new ArrayList<>();
        for (Domain domain : mDomains) {
            for (int i = 0; i < domain.workers(); i++) {
                hosts.add(host(domain, i, ports));
            }
        }
        return hosts;
    }

    private HostInfo host(Domain domain, int index, PortAllocator ports) {
        String suffix = domain.name() + "-" + index;
        ExecutorInfo executor =
                new ExecutorInfo("e-" + suffix, SERVICE, ports.nextAddress(), mSlots, 64);
        return new HostInfo(
                "w-" + suffix,
                domain.region(),
                domain.name(),
                "r" + index / WORKERS_PER_RACK,
                ports.nextAddress(),
                HostState.LIVE,
                mCapacity,
                List.of(executor));
    }
}
