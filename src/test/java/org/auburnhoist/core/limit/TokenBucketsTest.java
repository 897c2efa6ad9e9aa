package org.auburnhoist.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.core.message.TokenReturn;
import org.junit.jupiter.api.Test;

/** Tests prefetched tokens, on the owner's and on the requesting side. */
class TokenBucketsTest {
    private static final long MILLI = 1_000_000L;
    private static final Team TEAM = new Team("billing", 60, 64, 1);

    private final TokenBuckets buckets = new TokenBuckets(new OwnerOfAll(), LimitSettings.STANDARD);

    TokenBucketsTest() {
        buckets.configure(Map.of(TEAM.name(), TEAM), 0);
    }

    /** Guards against a bucket that refills without counting the tokens that other hosts still hold. */
    @Test
    void prefetchedTokensAndLevelStayWithinTheCapacity() {
        int prefetched = buckets.request(new TokenRequest(TEAM.name(), 0, 9), 0).granted() - 1;
        assertTrue(prefetched > 0);
        int taken = 0;
        while (buckets.request(new TokenRequest(TEAM.name(), 0, 1), 400 * MILLI).granted() > 0) {
            taken++;
        }
        assertEquals(32, taken + prefetched);
    }

    /** Guards against a delayed return that adds tokens whose capacity has been granted again. */
    @Test
    void tokensReturnedAfterTheirLifetimeAreIgnored() {
        buckets.request(new TokenRequest(TEAM.name(), 0, 9), 0);
        assertEquals(3, buckets.returnTokens(new TokenReturn(TEAM.name(), 0, 3), 900 * MILLI));
        assertEquals(0, buckets.returnTokens(new TokenReturn(TEAM.name(), 0, 5), 9_000 * MILLI));
    }

    /** Guards against requests to owners that have announced when their next token is available. */
    @Test
    void requestsFromTheSecondBucketAndThenRefusesLocally() {
        HostId self = new HostId("host-0", 0);
        Member member = new Member(self, "192.0.2.1:1", "192.0.2.1:2", "dc-0", MemberState.SERVING, 1);
        TokenReserves reserves = new TokenReserves(self, LimitSettings.STANDARD, Roster.bootstrap(member, 4));
        reserves.configure(Map.of(TEAM.name(), TEAM), 0);
        TokenDecision.RequestTokens first =
                assertInstanceOf(TokenDecision.RequestTokens.class, reserves.decide(TEAM.name(), 0));
        TokenAnswer refusal = new TokenAnswer(true, 0, 300);
        TokenDecision.RequestTokens second =
                assertInstanceOf(TokenDecision.RequestTokens.class, reserves.onAnswer(first, 0, refusal, 10 * MILLI));
        assertEquals(List.of(0, 1), List.of(first.bucket(), second.bucket()));
        TokenDecision last = reserves.onAnswer(second, 10 * MILLI, new TokenAnswer(true, 0, 200), 20 * MILLI);
        assertEquals(new TokenDecision.Refuse(200), last);
        assertEquals(new TokenDecision.Refuse(100), reserves.decide(TEAM.name(), 120 * MILLI));
        assertInstanceOf(TokenDecision.RequestTokens.class, reserves.decide(TEAM.name(), 220 * MILLI));
    }

    private static final class OwnerOfAll implements ShardView {
        @Override
        public int shardCount() {
            return 4;
        }

        @Override
        public Optional<OwnershipPeriod> activePeriod(int shard, long nowNanos) {
            return Optional.of(new OwnershipPeriod(0, 0, true));
        }
    }
}
