package org.auburnhoist.core.configuration;

/**
 * A name in one declaration that must be declared elsewhere.
 *
 * @param field field that holds the name
 * @param target the name
 * @param line line of the name, counted from 1
 * @param column column of the name, counted from 1
 */
record Reference(String field, String target, int line, int column) {}
