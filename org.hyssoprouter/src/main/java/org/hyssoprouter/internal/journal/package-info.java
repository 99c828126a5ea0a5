/** Events of a shard's durable state, and the journal that writes them to the table in groups. */
@NullMarked
package org.hyssoprouter.internal.journal;

import org.jspecify.annotations.NullMarked;
