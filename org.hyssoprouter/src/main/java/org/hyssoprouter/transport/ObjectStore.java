package org.hyssoprouter.transport;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.hyssoprouter.errors.TableError;

/**
 * Port to the platform's object store. Calls block.
 *
 * @since 0.1
 */
public interface ObjectStore {
    /** Stores an object under a key, replacing an existing one. */
    Either<TableError, Boolean> put(String key, byte[] content);

    /** Returns the object, or none if the key does not exist. */
    Either<TableError, Option<byte[]>> get(String key);

    /** Deletes the object if it exists. */
    Either<TableError, Boolean> delete(String key);
}
