package org.auburnhoist.host;

import org.auburnhoist.core.blackboard.Blackboard;

/**
 * The blackboard of a host and the controllers that run on its control thread.
 *
 * @param board the control state
 * @param peers calls to other hosts
 * @param documents configuration and roster
 * @param pulls exchange of versions and contact ages with other members
 * @param store reads and writes of the store
 * @param limits rate limits
 * @param operations claims on operations
 * @param dispatchers slots granted by this host
 * @param slots slots for this host's requests
 * @param hostList hosts that the platform's list of hosts marks as leaving
 * @param retryBudgets retry budgets of the services; may be used by traffic threads
 */
record HostControllers(
        Blackboard board,
        MemberCalls peers,
        DocumentController documents,
        PullController pulls,
        StoreController store,
        LimitController limits,
        OperationController operations,
        DispatchController dispatchers,
        SlotClient slots,
        HostListController hostList,
        ServiceRetryBudgets retryBudgets) {}
