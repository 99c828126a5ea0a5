package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.InMemoryStore;
import org.hyssoprouter.transport.InMemoryStore.Fault;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;

/**
 * Connection of one daemon to the table and the object store: calls take simulated time and fail at
 * random.
 */
record SimulatedTable(
        InMemoryStore table,
        Random random,
        SimulatedTime time,
        BooleanSupplier isUnreachable,
        BooleanSupplier isSlow,
        LongSupplier frozenUntilMillis,
        BooleanSupplier areFaultsEnded)
        implements TableService, ObjectStore {

    private <T> Either<TableError, T> call(Supplier<Either<TableError, T>> operation) {
        pause();
        if (isUnreachable.getAsBoolean()) {
            return Either.left(TableError.unavailable("table unreachable"));
        }
        Either<TableError, T> result = operation.get();
        pause();
        return result;
    }

    private void pause() {
        // Only a quarter of the pauses is long in slow mode, because a daemon detects the death of
        // another only by a series of prompt reads.
        boolean isLong = isSlow.getAsBoolean() && random.nextInt(4) == 0;
        int boundMillis = isLong ? 4000 : 100;
        time.runUntil(time.millis() + random.nextInt(boundMillis));
        while (time.millis() < frozenUntilMillis.getAsLong()) {
            time.runUntil(frozenUntilMillis.getAsLong());
        }
    }

    @Override
    public Either<TableError, List<Row>> read(Collection<String> keys) {
        return call(() -> table.read(keys));
    }

    @Override
    public Either<TableError, List<Row>> scan(String prefix) {
        return call(() -> table.scan(prefix));
    }

    @Override
    public Either<TableError, Long> commit(Transaction transaction) {
        boolean isFault = !areFaultsEnded.getAsBoolean() && random.nextInt(100) < 15;
        Fault[] faults = Fault.values();
        Fault fault = isFault ? faults[random.nextInt(faults.length)] : Fault.NONE;
        return call(() -> table.commit(transaction, fault));
    }

    @Override
    public Either<TableError, Boolean> put(String key, byte[] content) {
        return call(() -> table.put(key, content));
    }

    @Override
    public Either<TableError, Option<byte[]>> get(String key) {
        return call(() -> table.get(key));
    }

    @Override
    public Either<TableError, Boolean> delete(String key) {
        return call(() -> table.delete(key));
    }
}
