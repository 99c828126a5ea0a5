package org.hyssoprouter.daemon.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.junit.jupiter.api.Test;

/** A configuration that grows by 1,852 queues, in regions behind links of 42 Mbit/s. */
class ConfigDistributorTest {
    private static final int REGION_HOSTS = 18;
    private static final int MIN_HOSTS = 6;
    private static final long FIXED_TIMEOUT_MILLIS = 900;
    private static final long BOUND_MILLIS = 4_000;
    private static final int SMALL_ROW_BYTES = 20_000;

    /** 600 KB of JSON in base64. */
    private static final int LARGE_ROW_BYTES = 800_000;

    private static final String READER = "r1-h00";
    private static final String SECOND = "r1-h01";
    private static final PoolConfig SMALL = SimulatedNetwork.config(1, 40, PoolConfig.NONE);
    private static final PoolConfig LARGE = SimulatedNetwork.config(2, 1_892, SMALL);

    private long mStoredMillis;

    private record Cell(int hosts, int regions) {}

    private static SimulatedNetwork network(int minHosts, long readLimitMillis) {
        SimulatedNetwork network = new SimulatedNetwork(2, REGION_HOSTS, minHosts, readLimitMillis);
        network.store(SMALL, SMALL_ROW_BYTES);
        network.advance(5_000);
        assertEquals(network.mHosts.size(), network.mAppliedMillis.size());
        return network;
    }

    private void storeLarge(SimulatedNetwork network) {
        mStoredMillis = network.mClock.millis();
        network.store(LARGE, LARGE_ROW_BYTES);
    }

    private long countApplied(SimulatedNetwork network, String region) {
        return network.mAppliedMillis.entrySet().stream()
                .filter(it -> it.getKey().startsWith(region))
                .filter(it -> it.getValue() - mStoredMillis <= BOUND_MILLIS)
                .count();
    }

    private long slowestMillis(SimulatedNetwork network) {
        return Collections.max(network.mAppliedMillis.values()) - mStoredMillis;
    }

    @Test
    void everyHostReadingTheStoreWithAFixedTimeoutNeverEnds() {
        SimulatedNetwork network = network(0, FIXED_TIMEOUT_MILLIS);
        storeLarge(network);
        network.advance(30_000);
        assertEquals(REGION_HOSTS, countApplied(network, "r0"));
        assertEquals(0, countApplied(network, "r1"));
    }

    @Test
    void oneReaderPassesTheChangesOn() {
        SimulatedNetwork network = network(MIN_HOSTS, 0);
        storeLarge(network);
        network.advance(BOUND_MILLIS);
        assertEquals(REGION_HOSTS, countApplied(network, "r1"));
        assertEquals(REGION_HOSTS, countApplied(network, "r0"));
        // The row crosses the link once; the rest are calls without changes.
        assertTrue(network.mCarriedBytes.getOrDefault("r1", 0.0) < 1.1 * LARGE_ROW_BYTES);
        System.out.println("one reader: slowest host after " + slowestMillis(network) + " ms");
    }

    /** As before, but without the reader: with a fixed timeout it is the progress that helps. */
    @Test
    void readThatMakesProgressEndsWithoutAReader() {
        SimulatedNetwork network = network(0, 0);
        storeLarge(network);
        network.advance(BOUND_MILLIS);
        assertEquals(REGION_HOSTS, countApplied(network, "r1"));
        System.out.println("no reader: slowest host after " + slowestMillis(network) + " ms");
    }

    @Test
    void readerIsCutWhileItReads() {
        SimulatedNetwork network = network(MIN_HOSTS, 0);
        storeLarge(network);
        network.advance(50);
        network.cut(READER);
        network.advance(BOUND_MILLIS);
        assertEquals(REGION_HOSTS - 1, countApplied(network, "r1"));
        System.out.println("reader cut: slowest host after " + slowestMillis(network) + " ms");
        network.mCutHosts.clear();
        network.advance(BOUND_MILLIS);
        assertEquals(LARGE.version(), network.distributor(READER).current().version());
    }

    @Test
    void storeDoesNotAnswerTheReaders() {
        SimulatedNetwork network = network(MIN_HOSTS, 0);
        network.mRefusedHosts.addAll(List.of(READER, SECOND));
        storeLarge(network);
        network.advance(BOUND_MILLIS);
        assertEquals(REGION_HOSTS, countApplied(network, "r1"));
        System.out.println("readers refused: slowest after " + slowestMillis(network) + " ms");
    }

    @Test
    void restartedReaderIsBehindAndNobodyGoesBack() {
        SimulatedNetwork network = network(MIN_HOSTS, 0);
        storeLarge(network);
        network.advance(BOUND_MILLIS);
        network.mRefusedHosts.add(READER);
        network.startHost(network.mHosts.get(REGION_HOSTS));
        network.advance(BOUND_MILLIS);
        network.mHosts.forEach(
                host ->
                        assertEquals(
                                LARGE.version(),
                                network.distributor(host.name()).current().version()));
    }

    @Test
    void allHostsStartAtOnce() {
        SimulatedNetwork network = network(MIN_HOSTS, 0);
        storeLarge(network);
        network.advance(BOUND_MILLIS);
        network.mAppliedMillis.clear();
        mStoredMillis = network.mClock.millis();
        network.mHosts.forEach(network::startHost);
        network.advance(BOUND_MILLIS);
        assertEquals(REGION_HOSTS, countApplied(network, "r1"));
        assertEquals(REGION_HOSTS, countApplied(network, "r0"));
        System.out.println("total loss: slowest host after " + slowestMillis(network) + " ms");
    }

    @Test
    void ageStaysSmallAndGrowsWithoutAnySource() {
        SimulatedNetwork network = network(MIN_HOSTS, 0);
        for (int i = 0; i < 50; i++) {
            network.advance(100);
            network.mHosts.forEach(
                    it -> assertTrue(network.distributor(it.name()).ageMillis() < 1_500));
        }
        network.mHosts.forEach(it -> network.mRefusedHosts.add(it.name()));
        network.advance(6_000);
        network.mHosts.forEach(
                it -> assertTrue(network.distributor(it.name()).ageMillis() >= 5_000));
    }

    @Test
    void bytesBetweenRegionsForAChange() {
        for (Cell cell : List.of(new Cell(8, 1), new Cell(45, 3), new Cell(300, 6))) {
            int hosts = cell.hosts();
            int regions = cell.regions();
            StringBuilder line = new StringBuilder(hosts + " hosts, " + regions + " regions:");
            for (int minHosts : List.of(0, MIN_HOSTS)) {
                SimulatedNetwork network =
                        new SimulatedNetwork(regions, hosts / regions, minHosts, 0);
                network.store(SMALL, SMALL_ROW_BYTES);
                network.advance(5_000);
                storeLarge(network);
                network.advance(15_000);
                double bytes =
                        network.mCarriedBytes.entrySet().stream()
                                .filter(it -> !it.getKey().contains("-"))
                                .mapToDouble(Map.Entry::getValue)
                                .sum();
                line.append(
                        " %s %.0f KB between regions, slowest %d ms;"
                                .formatted(
                                        minHosts == 0 ? "every host" : "one reader",
                                        bytes / 1_000,
                                        slowestMillis(network)));
                assertEquals(network.mHosts.size(), network.mAppliedMillis.size());
                if (minHosts > 0) {
                    assertTrue(slowestMillis(network) <= BOUND_MILLIS);
                }
            }
            System.out.println(line);
        }
    }

    /** Longest time from a version's acknowledgement until hosts in touch go by it. */
    private static final long APPLY_MILLIS = 2_500;

    /** Time after the end of a disruption from which on a host is in touch. */
    private static final long CONTACT_MILLIS = 4_000;

    private static final int SMALL_REGION_HOSTS = 9;

    private PoolConfig storeNext(SimulatedNetwork network, PoolConfig former) {
        PoolConfig next =
                SimulatedNetwork.config(former.version() + 1, former.queues().size() + 1, former);
        mStoredMillis = network.mClock.millis();
        network.store(next, SMALL_ROW_BYTES);
        return next;
    }

    private void assertAppliedByAllBut(SimulatedNetwork network, List<String> gone) {
        network.mHosts.stream()
                .map(ConfigHost::name)
                .filter(it -> !gone.contains(it))
                .forEach(
                        it -> {
                            Long appliedMillis = network.mAppliedMillis.get(it);
                            assertTrue(
                                    appliedMillis != null
                                            && appliedMillis - mStoredMillis <= APPLY_MILLIS,
                                    it + " applied at " + appliedMillis + ", not in time");
                        });
    }

    // Guards against hosts that go by an old configuration because listed hosts are gone (CONFIG).
    @Test
    void hostsThatAreGoneDelayNoVersion() {
        SimulatedNetwork network = new SimulatedNetwork(2, SMALL_REGION_HOSTS, MIN_HOSTS, 0);
        PoolConfig config = SMALL;
        network.store(config, SMALL_ROW_BYTES);
        network.advance(5_000);
        List<String> gone = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            for (int region = 0; region < 2; region++) {
                gone.add("r%d-h%02d".formatted(region, i));
                network.cut(gone.get(gone.size() - 1));
                network.advance(2_500);
            }
        }
        network.advance(6_000);
        for (int i = 0; i < 6; i++) {
            config = storeNext(network, config);
            network.advance(4_000);
            assertAppliedByAllBut(network, gone);
        }
    }

    // Guards against hosts that read the store too late because they rank low (CONFIG).
    @Test
    void hostsThatGoAtOnceDelayNoVersion() {
        for (int offsetMillis = 0; offsetMillis < 3_000; offsetMillis += 100) {
            SimulatedNetwork network = new SimulatedNetwork(2, SMALL_REGION_HOSTS, MIN_HOSTS, 0);
            network.store(SMALL, SMALL_ROW_BYTES);
            network.advance(5_000);
            List<String> gone = List.of("r0-h00", "r1-h00", "r1-h01", "r1-h02", "r1-h03");
            gone.forEach(network::cut);
            network.advance(offsetMillis);
            storeNext(network, SMALL);
            network.advance(4_000);
            assertAppliedByAllBut(network, gone);
        }
    }

    // Guards against a host that is not asked, or does not ask, for long after it is back.
    @Test
    void hostsThatAreBackAreInForceWithinTheTimeOfContact() {
        for (int cutMillis = 3_000; cutMillis <= 30_000; cutMillis += 3_000) {
            SimulatedNetwork network = new SimulatedNetwork(2, SMALL_REGION_HOSTS, MIN_HOSTS, 0);
            network.store(SMALL, SMALL_ROW_BYTES);
            network.advance(5_000);
            List.of("r0-h00", "r1-h00", "r1-h05").forEach(network::cut);
            network.advance(cutMillis);
            PoolConfig config = storeNext(network, SMALL);
            network.mCutHosts.clear();
            network.advance(CONTACT_MILLIS);
            for (ConfigHost host : network.mHosts) {
                assertEquals(
                        config.version(),
                        network.distributor(host.name()).current().version(),
                        host.name() + " after " + cutMillis + " ms");
            }
        }
    }
}
