/** Stand-in of an executor: simulates requests and counts those above its slots. */
@NullMarked
package org.hyssoprouter.standin.executor;

import org.jspecify.annotations.NullMarked;
