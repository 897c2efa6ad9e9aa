package org.auburnhoist.core.membership;

/** Whether a member accepts new callers. */
public enum MemberState {
    SERVING,
    LEAVING
}
