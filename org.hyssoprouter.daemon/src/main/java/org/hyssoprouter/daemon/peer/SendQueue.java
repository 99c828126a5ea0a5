package org.hyssoprouter.daemon.peer;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Messages that wait for a connection; used on its event loop only. Pings go first, then the more
 * pressing class. Messages of one class take turns, a chunk each, so that a small one never waits
 * for the whole of a large one. Each {@link #FAIRNESS_INTERVAL}-th chunk goes to the least pressing
 * class that waits, so that no class starves.
 */
final class SendQueue {
    /** Most bytes that may wait in one class. */
    static final long MAX_CLASS_BYTES = 8L * 1024 * 1024;

    /** Most messages that may wait in one class. */
    static final int MAX_CLASS_MESSAGES = 4096;

    private static final int FAIRNESS_INTERVAL = 16;

    private final ArrayDeque<Frame> mControl = new ArrayDeque<>();
    private final Map<TrafficClass, ClassQueue> mClassQueues = new EnumMap<>(TrafficClass.class);
    private final List<ClassQueue> mLowestPriorityFirst;
    private int mChunkCount;

    SendQueue() {
        for (TrafficClass trafficClass : TrafficClass.values()) {
            mClassQueues.put(trafficClass, new ClassQueue());
        }
        mLowestPriorityFirst = new ArrayList<>(mClassQueues.values());
        Collections.reverse(mLowestPriorityFirst);
    }

    /** Adds a frame that goes before all messages. */
    void offerControl(Frame frame) {
        mControl.add(frame);
    }

    /** Adds a message; returns false, and adds nothing, when its class is full. */
    boolean offer(OutgoingMessage message) {
        ClassQueue queue = queueOf(message);
        long bytes = queue.mBytes + message.bodyBytes();
        if (bytes > MAX_CLASS_BYTES || queue.mMessages.size() >= MAX_CLASS_MESSAGES) {
            return false;
        }
        queue.mBytes = bytes;
        queue.mMessages.add(message);
        return true;
    }

    /** Takes the next ping or pong. */
    Option<Frame> pollControl() {
        return Option.of(mControl.poll());
    }

    /**
     * Returns the message whose chunk goes next, leaving it in place.
     *
     * @param maySend whether the next chunk of a message may go now
     */
    Option<OutgoingMessage> peek(Predicate<OutgoingMessage> maySend) {
        boolean leastPressing = (mChunkCount + 1) % FAIRNESS_INTERVAL == 0;
        for (ClassQueue queue : leastPressing ? mLowestPriorityFirst : mClassQueues.values()) {
            OutgoingMessage message = queue.mMessages.peek();
            if (message != null && maySend.test(message)) {
                return Option.some(message);
            }
        }
        return Option.none();
    }

    /** Returns the message of each class that would go next, leaving them in place. */
    List<OutgoingMessage> heads() {
        List<OutgoingMessage> heads = new ArrayList<>();
        for (ClassQueue queue : mClassQueues.values()) {
            Option.of(queue.mMessages.peek()).forEach(heads::add);
        }
        return heads;
    }

    /** Takes the next chunk of the message that {@link #peek(Predicate)} returned. */
    Frame pollChunk(OutgoingMessage message) {
        ClassQueue queue = queueOf(message);
        queue.mMessages.remove();
        mChunkCount++;
        Frame frame = message.nextChunk();
        if (frame.last()) {
            queue.mBytes -= message.bodyBytes();
        } else {
            queue.mMessages.add(message);
        }
        return frame;
    }

    /** Removes a message that was not wholly sent. */
    void remove(OutgoingMessage message) {
        ClassQueue queue = queueOf(message);
        if (queue.mMessages.remove(message)) {
            queue.mBytes -= message.bodyBytes();
        }
    }

    private ClassQueue queueOf(OutgoingMessage message) {
        ClassQueue queue = mClassQueues.get(message.trafficClass());
        if (queue == null) {
            throw new IllegalStateException("no queue for class " + message.trafficClass());
        }
        return queue;
    }

    /** Messages of one class. */
    private static final class ClassQueue {
        private final ArrayDeque<OutgoingMessage> mMessages = new ArrayDeque<>();
        private long mBytes;
    }
}
