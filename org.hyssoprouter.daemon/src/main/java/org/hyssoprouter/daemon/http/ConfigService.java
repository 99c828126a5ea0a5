package org.hyssoprouter.daemon.http;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.ConfigDocument;

/**
 * Reads and replaces the configuration for operators. Futures complete normally; failures are in
 * the {@code Either}.
 *
 * @since 0.1
 */
public interface ConfigService {
    /** Returns the document in force on this daemon. */
    CompletableFuture<Either<Refusal, ConfigDocument>> current();

    /**
     * Replaces the document if its version is still {@code expectedVersion}, and waits until the
     * new version is in force on every live daemon.
     *
     * @param document new document
     * @param expectedVersion version on which the edit is based; 0 if there is none yet
     * @return the daemons on which it is in force, or CONFLICT naming the newer version
     */
    CompletableFuture<Either<Refusal, ConfigStatus>> put(
            ConfigDocument document, long expectedVersion);

    /** Returns the daemons on which the newest version is in force. */
    CompletableFuture<Either<Refusal, ConfigStatus>> status();

    /** Returns the retained documents of earlier versions, newest first. */
    CompletableFuture<Either<Refusal, List<ConfigDocument>>> history();
}
