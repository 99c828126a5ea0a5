package org.hyssoprouter.daemon.http;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.ConfigDocument;

/**
 * Operators' work with the configuration. Futures complete normally.
 *
 * @since 0.1
 */
public interface ConfigService {
    /** Returns the document in force at this daemon. */
    CompletableFuture<Either<Refusal, ConfigDocument>> current();

    /**
     * Replaces the document if its version is still {@code expectedVersion}, and waits until it is
     * in force on every live daemon.
     *
     * @param document new document
     * @param expectedVersion version that it was edited from; 0 when there is none yet
     * @return where it is in force, or CONFLICT naming the newer version
     */
    CompletableFuture<Either<Refusal, ConfigStatus>> put(
            ConfigDocument document, long expectedVersion);

    /** Returns where the newest version is in force. */
    CompletableFuture<Either<Refusal, ConfigStatus>> status();

    /** Returns the documents of former versions that are kept, newest first. */
    CompletableFuture<Either<Refusal, List<ConfigDocument>>> history();
}
