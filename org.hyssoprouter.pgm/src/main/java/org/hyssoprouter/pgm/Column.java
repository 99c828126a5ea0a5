package org.hyssoprouter.pgm;

/**
 * Column of a table.
 *
 * @param title title
 * @param pointer JSON pointer of its value within a row
 */
record Column(String title, String pointer) {}
