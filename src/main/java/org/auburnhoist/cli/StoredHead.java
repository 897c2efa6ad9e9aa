package org.auburnhoist.cli;

import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.configuration.ConfigurationHead;

/**
 * A configuration head as read from the store.
 *
 * @param head the head, {@link ConfigurationHead#NONE} before the first change
 * @param position position that a following write must expect, {@link StorePosition#NONE} if there is no head
 */
record StoredHead(ConfigurationHead head, StorePosition position) {}
