package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.util.List;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.transport.HostList;
import org.jspecify.annotations.Nullable;

/**
 * Reads the platform's list of hosts over HTTP, see docs/PORTS.md. If the platform sends entity
 * tags, an unchanged list is not transferred again.
 *
 * @since 0.1
 */
public final class HttpHostList implements HostList {
    private final HttpCaller mCaller;
    private final String mAddress;
    private final long mTimeoutMillis;
    private String mEntityTag = "";
    private List<HostInfo> mCachedHosts = List.of();

    /**
     * Creates the adapter.
     *
     * @param address {@code ip:port} of the platform
     * @param timeoutMillis timeout of each call
     */
    public HttpHostList(HttpCaller caller, String address, long timeoutMillis) {
        mCaller = caller;
        mAddress = address;
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public synchronized Either<TableError, List<HostInfo>> list() {
        HttpRequest request = JsonHttp.get(mAddress, "/hosts");
        if (!mEntityTag.isEmpty()) {
            request = request.withHeader("If-None-Match", mEntityTag);
        }
        return mCaller.callAndWait(request, mTimeoutMillis)
                .flatMap(this::read)
                .mapLeft(error -> TableError.unavailable(error.message()));
    }

    private Either<CallError, List<HostInfo>> read(HttpReply reply) {
        if (reply.status() == HttpReply.NOT_MODIFIED) {
            return Either.right(mCachedHosts);
        }
        return JsonHttp.decode(reply, Hosts.class)
                .map(Hosts::hosts)
                .peek(hosts -> cache(hosts, reply.entityTag()));
    }

    private void cache(List<HostInfo> hosts, @Nullable String entityTag) {
        mCachedHosts = hosts;
        mEntityTag = entityTag == null ? "" : entityTag;
    }

    private record Hosts(List<HostInfo> hosts) {}
}
