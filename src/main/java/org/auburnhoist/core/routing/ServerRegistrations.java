package org.auburnhoist.core.routing;

import java.util.Comparator;
import java.util.List;

/**
 * What the store holds under the keys of upstream servers.
 *
 * @param servers the usable registrations, sorted by ID
 * @param unusableIds sorted IDs under which an entry stands that names no server to use. Another writer may have
 *     overwritten the registration of a server that still runs, so these servers have not left. At most
 *     {@value #MAX_UNUSABLE_IDS} are kept, in the order of their text.
 */
public record ServerRegistrations(List<UpstreamServer> servers, List<String> unusableIds) {
    /** Bounds what other writers can add to the document that hosts send each other. */
    private static final int MAX_UNUSABLE_IDS = 1_000;

    /** Sorts both lists. */
    public ServerRegistrations {
        servers = servers.stream()
                .sorted(Comparator.comparing(UpstreamServer::id))
                .toList();
        unusableIds = unusableIds.stream().sorted().limit(MAX_UNUSABLE_IDS).toList();
    }

    /** Registrations without an unusable entry. */
    public static ServerRegistrations of(List<UpstreamServer> servers) {
        return new ServerRegistrations(servers, List.of());
    }
}
