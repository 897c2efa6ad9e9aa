package org.auburnhoist.core.configuration;

/**
 * A name in one declaration that refers to another declaration.
 *
 * @param field field that contains the name
 * @param target the name
 * @param line line of the name, counted from 1
 * @param column column of the name, counted from 1
 */
record Reference(String field, String target, int line, int column) {}
