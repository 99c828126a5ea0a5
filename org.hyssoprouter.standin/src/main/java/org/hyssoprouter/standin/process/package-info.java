/** Child processes, port allocation and network fault injection for tests with real processes. */
@NullMarked
package org.hyssoprouter.standin.process;

import org.jspecify.annotations.NullMarked;
