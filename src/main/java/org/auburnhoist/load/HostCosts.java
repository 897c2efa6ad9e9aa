package org.auburnhoist.load;

import java.time.Duration;
import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.dispatch.DispatcherPlacement;
import org.auburnhoist.core.membership.AddressRanking;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterCodec;
import org.auburnhoist.core.membership.RosterProposer;
import org.auburnhoist.core.message.PullAnswer;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.peer.FrameCodec;

/** Measures the costs that depend on the number of hosts. */
final class HostCosts {
    private static final int[] HOSTS = {5, 20, 40, 160, 640, 890};
    private static final int[] UNSETTLED = {0, 4, 16, 64};
    private static final int[] SHARDS = {64, 256, 1_024, 4_096};
    private static final long NOW = 1_000_000_000_000L;
    private static final Duration LIMIT = Duration.ofSeconds(6);

    private final FrameCodec wire = new FrameCodec();
    private final CostSeries request = series("PullRequest", "bytes");
    private final CostSeries answer = series("PullAnswer", "bytes");
    private final CostSeries answerTime = series("FreshnessTable.answer", "us");
    private final CostSeries mergeTime = series("FreshnessTable.merge", "us");
    private final CostSeries pullCodec = series("PullAnswer encode, authenticate, check, decode", "us");
    private final CostSeries rosterBytes = series("roster document", "bytes");
    private final CostSeries rosterEncode = series("RosterCodec.encode", "us");
    private final CostSeries rosterDecode = series("RosterCodec.decode", "us");
    private final CostSeries tableBytes = series("freshness state of a host", "bytes of heap");
    private final CostSeries rosterHeap = series("one roster in memory", "bytes of heap");
    private final CostSeries propose = series("Steward.propose, nothing to do", "us");
    private final CostSeries rank = series("AddressRanking.rank", "us");
    private final CostSeries join = series("Roster.join with shard assignment", "us");
    private final CostSeries setMembers = series("DispatcherPlacement.setMembers, unchanged", "us");
    private final CostSeries order = series("DispatcherPlacement.order of one service after a change", "us");

    private static CostSeries series(String name, String unit) {
        return new CostSeries(name, "hosts", unit);
    }

    void run() {
        // The first pass warms up the JIT compiler for all sizes; its figures are overwritten.
        for (int pass = 0; pass < 2; pass++) {
            for (int hosts : HOSTS) {
                Roster roster = SyntheticFleet.roster(hosts);
                measureMemory(hosts, roster);
                measurePulls(hosts, roster);
                measureRoster(hosts, roster);
                measureChoices(hosts, roster);
            }
        }
        CostSeries.printHeading("Costs by hosts");
        List.of(request, answer, answerTime, mergeTime, pullCodec, tableBytes, rosterHeap, rosterBytes, rosterEncode)
                .forEach(CostSeries::print);
        List.of(rosterDecode, propose, join, rank, setMembers, order).forEach(CostSeries::print);
        measureUnsettled();
        measureShards();
    }

    private void measurePulls(int hosts, Roster roster) {
        List<FreshnessTable> tables = SyntheticFleet.tables(roster, NOW);
        FreshnessTable asking = tables.get(0);
        FreshnessTable answering = tables.get(1);
        PullAnswer message = answering.answer(NOW + 1_000_000_000L);
        request.add(hosts, wire.frameSize(new PullRequest(10_000, 2_000)));
        answer.add(hosts, wire.frameSize(message));
        answerTime.add(hosts, CostMeter.micros(call -> answering.answer(NOW + call)));
        mergeTime.add(hosts, CostMeter.micros(call -> asking.merge(answering.self(), NOW + call, message, NOW + call)));
        pullCodec.add(hosts, CostMeter.micros(call -> wire.decode(wire.encode(message, call), call)));
    }

    private void measureMemory(int hosts, Roster roster) {
        HostId self = roster.members().get(0).id();
        int copies = 20 + 20_000 / hosts;
        tableBytes.add(
                hosts,
                CostMeter.bytesEach(
                        copies, copy -> new FreshnessTable(self, MembershipSettings.STANDARD, roster, 2_000, NOW)));
        byte[] encoded = RosterCodec.encode(roster);
        rosterHeap.add(hosts, CostMeter.bytesEach(copies, copy -> RosterCodec.decode(encoded)));
    }

    private void measureRoster(int hosts, Roster roster) {
        byte[] encoded = RosterCodec.encode(roster);
        Member joining = SyntheticFleet.member(9_000, 1);
        rosterBytes.add(hosts, encoded.length);
        rosterEncode.add(hosts, CostMeter.micros(call -> RosterCodec.encode(roster)));
        rosterDecode.add(hosts, CostMeter.micros(call -> RosterCodec.decode(encoded)));
        join.add(hosts, CostMeter.micros(call -> roster.join(joining)));
    }

    private void measureChoices(int hosts, Roster roster) {
        FreshnessTable table = SyntheticFleet.tables(roster, NOW).get(0);
        RosterProposer proposer = new RosterProposer(MembershipSettings.STANDARD);
        propose.add(hosts, CostMeter.micros(call -> proposer.propose(table, NOW)));
        List<HostId> ids = roster.members().stream().map(Member::id).toList();
        List<HostId> owners = List.of(ids.get(2), ids.get(3));
        rank.add(hosts, CostMeter.micros(call -> AddressRanking.rank(table, "parish-team-00007", owners, LIMIT, NOW)));
        DispatcherPlacement placement = new DispatcherPlacement();
        setMembers.add(hosts, CostMeter.micros(call -> placement.setMembers(ids)));
        order.add(hosts, CostMeter.micros(call -> placement.order("service-" + call)));
    }

    /** Measures unsettled membership changes; each adds a set of members that every quorum count has to evaluate. */
    private void measureUnsettled() {
        CostSeries merge = new CostSeries("FreshnessTable.merge at 890 hosts", "unsettled changes", "us");
        CostSeries adopt = new CostSeries("FreshnessTable of a new roster, 890 hosts", "unsettled changes", "us");
        CostSeries heap = new CostSeries("freshness state, 890 hosts", "unsettled changes", "bytes of heap");
        Roster settled = SyntheticFleet.roster(890);
        for (int pass = 0; pass < 2; pass++) {
            for (int changes : UNSETTLED) {
                Roster roster = SyntheticFleet.unsettled(settled, changes);
                HostId self = roster.members().get(0).id();
                HostId peer = roster.members().get(1).id();
                FreshnessTable table = new FreshnessTable(self, MembershipSettings.STANDARD, roster, 2_000, NOW);
                PullAnswer message =
                        new FreshnessTable(peer, MembershipSettings.STANDARD, roster, 2_000, NOW).answer(NOW);
                merge.add(changes, CostMeter.micros(call -> table.merge(peer, NOW + call, message, NOW + call)));
                adopt.add(
                        changes,
                        CostMeter.micros(call ->
                                new FreshnessTable(self, MembershipSettings.STANDARD, roster, 2_000, NOW + call)));
                heap.add(
                        changes,
                        CostMeter.bytesEach(
                                4, copy -> new FreshnessTable(self, MembershipSettings.STANDARD, roster, 2_000, NOW)));
            }
        }
        List.of(merge, adopt, heap).forEach(CostSeries::print);
    }

    private static void measureShards() {
        CostSeries bytes = new CostSeries("roster document at 890 hosts", "shards", "bytes");
        CostSeries join = new CostSeries("Roster.join at 890 hosts", "shards", "us");
        List<Member> members = SyntheticFleet.roster(890).members();
        for (int shards : SHARDS) {
            Roster roster = Roster.bootstrap(members.get(0), shards).rebuild(members);
            bytes.add(shards, RosterCodec.encode(roster).length);
            join.add(shards, CostMeter.micros(call -> roster.join(SyntheticFleet.member(9_000, call))));
        }
        bytes.print();
        join.print();
    }
}
