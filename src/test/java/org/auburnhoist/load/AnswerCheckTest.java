package org.auburnhoist.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.emulator.UpstreamServer;
import org.auburnhoist.load.AnswerCheck.Verdict;
import org.junit.jupiter.api.Test;

/** Guards against a check that accepts a damaged answer or the answer to another request. */
class AnswerCheckTest {
    private static final TeamLoad TEAM = ArrivalsTest.team("schools", 1);
    private static final LoadRequest BOOKING = new LoadRequest(1, 0, TEAM, TrafficClass.BOOKING, "/bookings?n=1", -1);
    private static final LoadRequest DOWNLOAD =
            new LoadRequest(2, 0, TEAM, TrafficClass.DOWNLOAD, "/charts/3?size=500&n=2", 500);

    private static byte[] echo(String path, String operationId) {
        String body = "{\"method\":\"POST\",\"path\":\"" + path + "\",\"operationId\":\"" + operationId + "\"}";
        return body.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] download(String path, int size) {
        byte[] body = new byte[size];
        for (int index = 0; index < size; index++) {
            body[index] = UpstreamServer.downloadByte(path, index);
        }
        return body;
    }

    @Test
    void acceptsTheRequestsOwnAnswer() {
        byte[] body = echo(BOOKING.path(), "id-1");
        assertEquals(Verdict.COMPLETE, AnswerCheck.check(BOOKING, "id-1", BOOKING.path(), body));
        byte[] chart = download(DOWNLOAD.path(), 500);
        assertEquals(Verdict.COMPLETE, AnswerCheck.check(DOWNLOAD, "", DOWNLOAD.path(), chart));
    }

    @Test
    void detectsTheAnswerToAnotherRequest() {
        assertEquals(Verdict.CROSSED, AnswerCheck.check(BOOKING, "id-1", "", echo("/bookings?n=9", "id-1")));
        assertEquals(Verdict.CROSSED, AnswerCheck.check(BOOKING, "id-1", "", echo(BOOKING.path(), "id-2")));
        byte[] other = download("/charts/4?size=500&n=9", 500);
        assertEquals(Verdict.CROSSED, AnswerCheck.check(DOWNLOAD, "", "", other));
        byte[] own = download(DOWNLOAD.path(), 500);
        assertEquals(Verdict.CROSSED, AnswerCheck.check(DOWNLOAD, "", "/charts/4?size=500&n=9", own));
    }

    @Test
    void detectsATruncatedAnswer() {
        byte[] body = echo(BOOKING.path(), "id-1");
        byte[] start = Arrays.copyOf(body, body.length - 5);
        assertEquals(Verdict.INCOMPLETE, AnswerCheck.check(BOOKING, "id-1", BOOKING.path(), start));
        assertEquals(Verdict.INCOMPLETE, AnswerCheck.check(BOOKING, "id-1", BOOKING.path(), new byte[0]));
        byte[] chart = download(DOWNLOAD.path(), 499);
        assertEquals(Verdict.INCOMPLETE, AnswerCheck.check(DOWNLOAD, "", DOWNLOAD.path(), chart));
    }
}
