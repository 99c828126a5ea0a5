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
 * Orders the outgoing frames of one connection; used on its event loop only. Control frames are
 * sent first, then messages by traffic class. Messages of one class are sent round-robin, a chunk
 * each, so that a small message does not wait for all of a large one. Every {@link
 * #FAIRNESS_INTERVAL}th chunk is taken from the lowest class that has a message, so that no class
 * starves.
 */
final class SendQueue {
    /** Maximum bytes of the bodies queued in one class. */
    static final long MAX_CLASS_BYTES = 8L * 1024 * 1024;

    /** Maximum number of messages queued in one class. */
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

    /** Adds a control frame, which is sent before all messages. */
    void offerControl(Frame frame) {
        mControl.add(frame);
    }

    /** Adds a message; returns false without adding it if the queue of its class is full. */
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

    /** Removes and returns the next control frame. */
    Option<Frame> pollControl() {
        return Option.of(mControl.poll());
    }

    /**
     * Returns the message whose chunk is to be sent next, without removing it.
     *
     * @param tryReserve tested for the first message of each class in order of precedence, until it
     *     returns true for one whose next chunk may be sent now
     */
    Option<OutgoingMessage> peek(Predicate<OutgoingMessage> tryReserve) {
        boolean lowestPriorityFirst = (mChunkCount + 1) % FAIRNESS_INTERVAL == 0;
        for (ClassQueue queue :
                lowestPriorityFirst ? mLowestPriorityFirst : mClassQueues.values()) {
            OutgoingMessage message = queue.mMessages.peek();
            if (message != null && tryReserve.test(message)) {
                return Option.some(message);
            }
        }
        return Option.none();
    }

    /** Returns the first message of each class without removing it. */
    List<OutgoingMessage> heads() {
        List<OutgoingMessage> heads = new ArrayList<>();
        for (ClassQueue queue : mClassQueues.values()) {
            Option.of(queue.mMessages.peek()).forEach(heads::add);
        }
        return heads;
    }

    /** Takes the next chunk of the message that {@link #peek(Predicate)} has returned. */
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

    /** Removes a message that is not fully sent. */
    void remove(OutgoingMessage message) {
        ClassQueue queue = queueOf(message);
        if (queue.mMessages.remove(message)) {
            queue.mBytes -= message.bodyBytes();
        }
    }

    private ClassQueue queueOf(OutgoingMessage message) {
        ClassQueue queue = mClassQueues.get(message.trafficClass());
        if (queue == null) {
            throw new IllegalStateException(
                    "no send queue for traffic class " + message.trafficClass());
        }
        return queue;
    }

    /** Messages of one class. */
    private static final class ClassQueue {
        private final ArrayDeque<OutgoingMessage> mMessages = new ArrayDeque<>();
        private long mBytes;
    }
}
