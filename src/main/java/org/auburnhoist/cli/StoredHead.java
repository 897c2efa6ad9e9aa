package org.auburnhoist.cli;

import org.auburnhoist.core.configuration.ConfigurationHead;

/**
 * A configuration head as read from the store.
 *
 * @param head the head, {@link ConfigurationHead#NONE} before the first change
 * @param revision store revision that a following write must expect, 0 if there is no head
 */
record StoredHead(ConfigurationHead head, long revision) {}
