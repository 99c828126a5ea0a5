package org.hyssoprouter.daemon.http;

import java.util.List;
import org.hyssoprouter.errors.Refusal;

/** Joins several faults of one input into one refusal. */
final class RefusalMerger {
    private RefusalMerger() {}

    /** Returns a refusal with the first fault's field and the messages of all. */
    static Refusal merge(List<Refusal> faults) {
        Refusal first = faults.get(0);
        String message = String.join("; ", faults.stream().map(Refusal::message).toList());
        return new Refusal(first.code(), first.verdict(), message, first.field(), 0);
    }
}
