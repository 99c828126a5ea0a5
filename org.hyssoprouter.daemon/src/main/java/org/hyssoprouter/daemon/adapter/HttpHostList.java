package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.util.List;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.transport.HostList;

/**
 * The platform's list of hosts over HTTP, see docs/PORTS.md.
 *
 * @since 0.1
 */
public final class HttpHostList implements HostList {
    private final HttpCaller mCaller;
    private final String mAddress;
    private final long mTimeoutMillis;

    /**
     * Creates the adapter.
     *
     * @param address {@code ip:port} of the platform
     * @param timeoutMillis time for each call
     */
    public HttpHostList(HttpCaller caller, String address, long timeoutMillis) {
        mCaller = caller;
        mAddress = address;
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public Either<TableError, List<HostInfo>> list() {
        return mCaller.callAndWait(JsonHttp.get(mAddress, "/hosts"), mTimeoutMillis)
                .flatMap(reply -> JsonHttp.decode(reply, Hosts.class))
                .map(Hosts::hosts)
                .mapLeft(error -> TableError.unavailable(error.message()));
    }

    private record Hosts(List<HostInfo> hosts) {}
}
