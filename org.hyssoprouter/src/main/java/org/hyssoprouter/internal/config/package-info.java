/** The fleet-wide configuration: defaults, customers and exceptions with their reasons. */
@NullMarked
package org.hyssoprouter.internal.config;

import org.jspecify.annotations.NullMarked;
