package org.hyssoprouter.internal.config;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks the holder against a model under all interleavings that Lincheck explores. */
@Param(name = "version", gen = IntGen.class, conf = "1:4")
public class ConfigHolderTest {
    // Built ahead, so that the model checker explores the holder alone.
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
    void isLinearizableAndNeverFalls() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(100)
                .threads(2)
                .actorsPerThread(3)
                .sequentialSpecification(Model.class)
                .check(ConfigHolderTest.class);
    }

    /** The highest version seen, without threads. */
    public static class Model {
        private long mVersion;

        /** Returns whether {@code version} is the highest so far, and keeps it. */
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
