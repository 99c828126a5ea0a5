package org.hyssoprouter.daemon.http;

import java.util.List;
import org.hyssoprouter.errors.Refusal;

/** Merges the refusals for several invalid fields of one input into one refusal. */
final class RefusalMerger {
    private RefusalMerger() {}

    /** Returns a refusal with the field of the first refusal and the messages of all of them. */
    static Refusal merge(List<Refusal> refusals) {
        Refusal first = refusals.get(0);
        String message = String.join("; ", refusals.stream().map(Refusal::message).toList());
        return new Refusal(first.code(), first.verdict(), message, first.field(), 0);
    }
}
