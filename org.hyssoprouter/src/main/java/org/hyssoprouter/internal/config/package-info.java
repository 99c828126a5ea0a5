/** Cell-wide configuration: defaults, customers and per-customer overrides. */
@NullMarked
package org.hyssoprouter.internal.config;

import org.jspecify.annotations.NullMarked;
