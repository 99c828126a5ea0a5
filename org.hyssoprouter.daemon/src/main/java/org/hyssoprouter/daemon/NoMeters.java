package org.hyssoprouter.daemon;

import java.util.List;
import org.hyssoprouter.daemon.http.RequestObserver;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/** Counts nothing; in place until the meters are part of the daemon. */
final class NoMeters implements RequestObserver {
    @Override
    public void answered(RequestOrder order, RequestReply reply, long nanos) {}

    @Override
    public String scrape() {
        return "";
    }

    @Override
    public List<TopEntry> top() {
        return List.of();
    }
}
