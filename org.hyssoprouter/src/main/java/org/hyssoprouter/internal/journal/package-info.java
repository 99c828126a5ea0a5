/** Events that make up a shard's durable state, and the grouped journal that keeps them. */
@NullMarked
package org.hyssoprouter.internal.journal;

import org.jspecify.annotations.NullMarked;
