package org.hyssoprouter.internal.config;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/**
 * Checks with Lincheck that {@link ConfigHolder} is linearizable with respect to a sequential
 * model.
 */
@Param(name = "version", gen = IntGen.class, conf = "1:4")
public class ConfigHolderTest {
    // Created in advance, so that the model checker explores only the holder.
    private static final ResolvedConfig[] VERSIONS = {
        new ResolvedConfig(ConfigFixture.document(1)),
        new ResolvedConfig(ConfigFixture.document(2)),
        new ResolvedConfig(ConfigFixture.document(3)),
        new ResolvedConfig(ConfigFixture.document(4))
    };

    private final ConfigHolder mHolder = new ConfigHolder();

    @Operation
    public boolean apply(@Param(name = "version") int version) {
        return mHolder.apply(VERSIONS[version - 1]);
    }

    @Operation
    public long version() {
        return mHolder.version();
    }

    @Test
    void isLinearizableAndVersionNeverDecreases() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(100)
                .threads(2)
                .actorsPerThread(3)
                .sequentialSpecification(Model.class)
                .check(ConfigHolderTest.class);
    }

    /** Sequential model: the highest version applied. */
    public static class Model {
        private long mVersion;

        /** Stores {@code version} if it is the highest so far; returns whether it was stored. */
        public boolean apply(int version) {
            if (version <= mVersion) {
                return false;
            }
            mVersion = version;
            return true;
        }

        public long version() {
            return mVersion;
        }
    }
}
