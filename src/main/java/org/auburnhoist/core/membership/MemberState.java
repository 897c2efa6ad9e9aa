package org.auburnhoist.core.membership;

/** Whether a member takes new callers. */
public enum MemberState {
    SERVING,
    LEAVING
}
