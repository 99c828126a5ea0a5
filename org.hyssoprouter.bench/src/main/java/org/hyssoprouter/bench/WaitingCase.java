package org.hyssoprouter.bench;

import io.vavr.control.Option;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.hyssoprouter.internal.request.FairQueue;
import org.hyssoprouter.internal.request.SlotHold;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Measures the waiting time of each traffic class while class BULK saturates the slots. Simulates
 * {@link FairQueue} and {@link SlotTracker} in virtual time and compares them with a single FIFO
 * queue with the same arrivals.
 */
final class WaitingCase implements MeasureCase {
    private static final int EXECUTORS = 30;
    private static final int SLOTS = 8;
    private static final int BULK_SHARE_PERCENT = 50;
    private static final int BULK_REQUESTS = 20_000;
    private static final int NORMAL_PER_SECOND = 500;
    private static final int URGENT_PER_SECOND = 50;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final String SERVICE = "s";

    @Override
    public String name() {
        return "waiting";
    }

    @Override
    public String description() {
        return "waiting time per class behind bulk work, decisions in virtual time";
    }

    @Override
    public boolean run(MeasureOptions options, PrintStream out) {
        List<Arrival> arrivals = arrivals(options);
        long endMillis = options.seconds() * MILLIS_PER_SECOND;
        Map<TrafficClass, List<Long>> fair =
                new QueueSimulation(false, endMillis).simulate(arrivals);
        Map<TrafficClass, List<Long>> fifo =
                new QueueSimulation(true, endMillis).simulate(arrivals);
        print(out, "fair queue, bulk share 50 %", fair);
        print(out, "one shared queue", fifo);
        for (TrafficClass trafficClass : TrafficClass.values()) {
            out.printf(
                    "{\"case\":\"waiting\",\"seed\":%d,\"class\":\"%s\",\"fairP50\":%d,"
                            + "\"fairP99\":%d,\"fifoP50\":%d,\"fifoP99\":%d}%n",
                    options.seed(),
                    trafficClass,
                    ReportFormatter.percentile(fair.getOrDefault(trafficClass, List.of()), 50),
                    ReportFormatter.percentile(fair.getOrDefault(trafficClass, List.of()), 99),
                    ReportFormatter.percentile(fifo.getOrDefault(trafficClass, List.of()), 50),
                    ReportFormatter.percentile(fifo.getOrDefault(trafficClass, List.of()), 99));
        }
        return true;
    }

    private static void print(PrintStream out, String title, Map<TrafficClass, List<Long>> waits) {
        out.println(title + ", time until the start or the end of the run");
        waits.forEach(
                (trafficClass, millis) ->
                        ReportFormatter.printRow(
                                out,
                                trafficClass.name(),
                                ReportFormatter.formatMedianAndP99(millis)));
    }

    private static List<Arrival> arrivals(MeasureOptions options) {
        Random random = new Random(options.seed());
        List<Arrival> arrivals = new ArrayList<>();
        for (int i = 0; i < BULK_REQUESTS; i++) {
            arrivals.add(new Arrival(0, TrafficClass.BULK, 1000 + random.nextInt(2000)));
        }
        long endMillis = options.seconds() * MILLIS_PER_SECOND;
        for (long millis = 0; millis < endMillis; millis++) {
            if (random.nextInt((int) MILLIS_PER_SECOND) < NORMAL_PER_SECOND) {
                arrivals.add(new Arrival(millis, TrafficClass.NORMAL, 20 + random.nextInt(60)));
            }
            if (random.nextInt((int) MILLIS_PER_SECOND) < URGENT_PER_SECOND) {
                arrivals.add(new Arrival(millis, TrafficClass.URGENT, 10 + random.nextInt(20)));
            }
        }
        return arrivals;
    }

    private record Arrival(long millis, TrafficClass trafficClass, long serviceMillis) {}

    private record RunningRequest(long endMillis, SlotHold hold) {}

    /** Simulates the arrivals with one kind of queue. */
    private static final class QueueSimulation {
        private final boolean mFifo;
        private final long mEndMillis;
        private final SlotTracker mSlotTracker = new SlotTracker();
        private final FairQueue<Arrival> mFairQueue = new FairQueue<>();
        private final ArrayDeque<Arrival> mFifoQueue = new ArrayDeque<>();
        private final PriorityQueue<RunningRequest> mRunning =
                new PriorityQueue<>(Comparator.comparingLong(RunningRequest::endMillis));
        private final Map<TrafficClass, List<Long>> mWaits = new EnumMap<>(TrafficClass.class);
        private Option<SlotHold> mAcquiredSlot = Option.none();

        QueueSimulation(boolean fifo, long endMillis) {
            mFifo = fifo;
            mEndMillis = endMillis;
            mSlotTracker.updateHosts(List.of(host()));
            mSlotTracker
                    .beginDueQueries(0)
                    .forEach(info -> mSlotTracker.onQueryAnswered(info, 0, 0, 0));
        }

        private static HostInfo host() {
            List<ExecutorInfo> executors = new ArrayList<>();
            for (int i = 0; i < EXECUTORS; i++) {
                executors.add(new ExecutorInfo("e" + i, SERVICE, "127.0.0.1:" + i, SLOTS, 64));
            }
            return new HostInfo(
                    "w", "r", "d", "k", "127.0.0.1:1", HostState.LIVE, Room.NONE, executors);
        }

        Map<TrafficClass, List<Long>> simulate(List<Arrival> arrivals) {
            int next = 0;
            for (long millis = 0; millis < mEndMillis; millis++) {
                release(millis);
                while (next < arrivals.size() && arrivals.get(next).millis() <= millis) {
                    enqueue(arrivals.get(next));
                    next++;
                }
                startAll(millis);
            }
            mFifoQueue.forEach(waiting -> recordWait(waiting, mEndMillis));
            mFairQueue.drain().forEach(waiting -> recordWait(waiting, mEndMillis));
            return mWaits;
        }

        private void release(long millis) {
            while (!mRunning.isEmpty() && mRunning.element().endMillis() <= millis) {
                mSlotTracker.release(mRunning.remove().hold(), true);
            }
        }

        private void enqueue(Arrival arrival) {
            if (mFifo) {
                mFifoQueue.add(arrival);
                return;
            }
            String customer = arrival.trafficClass() == TrafficClass.BULK ? "guild" : "lefain";
            mFairQueue.add(arrival.trafficClass(), customer, 1, arrival.serviceMillis(), arrival);
        }

        private void startAll(long millis) {
            Option<Arrival> next = poll();
            while (next.isDefined()) {
                Arrival arrival = next.get();
                recordWait(arrival, millis);
                mRunning.add(
                        new RunningRequest(millis + arrival.serviceMillis(), mAcquiredSlot.get()));
                next = poll();
            }
        }

        private Option<Arrival> poll() {
            if (!mFifo) {
                return mFairQueue.poll(arrival -> acquireSlot(arrival.trafficClass()));
            }
            boolean canStart = !mFifoQueue.isEmpty() && acquireSlot(TrafficClass.NORMAL);
            return canStart ? Option.some(mFifoQueue.remove()) : Option.none();
        }

        private boolean acquireSlot(TrafficClass trafficClass) {
            mAcquiredSlot = mSlotTracker.acquire(SERVICE, trafficClass, BULK_SHARE_PERCENT);
            return mAcquiredSlot.isDefined();
        }

        private void recordWait(Arrival arrival, long millis) {
            mWaits.computeIfAbsent(arrival.trafficClass(), unused -> new ArrayList<>())
                    .add(millis - arrival.millis());
        }
    }
}
