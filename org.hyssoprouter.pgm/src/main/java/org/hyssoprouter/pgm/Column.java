package org.hyssoprouter.pgm;

/**
 * Column of a printed table.
 *
 * @param title heading
 * @param pointer JSON pointer to the column's value within a row
 */
record Column(String title, String pointer) {}
