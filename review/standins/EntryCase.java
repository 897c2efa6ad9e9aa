import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry of another writer, with fields missing, stands under the id of a server until its next heartbeat. */
final class EntryCase {
    /** Bookings that were run by a server of another service. */
    private static final ConcurrentLinkedQueue<String> MISROUTED = new ConcurrentLinkedQueue<>();

    /** A sound server that notes what it runs besides the requests of its service. */
    private static final class Archive extends Upstream {
        private boolean disturbed;
        private int beats;

        Archive(String id, Fleet fleet, boolean disturbed) throws IOException {
            super(id, fleet, "archive", 380);
            this.disturbed = disturbed;
        }

        /** The other writer writes three times, each time right after one of the server's heartbeats. */
        @Override
        void registered() {
            if (disturbed && (++beats == 4 || beats == 6 || beats == 8)) {
                String entry = "{\"service\":\"" + Fleet.SERVICE + "\",\"address\":\"" + address.getHostString() + ":"
                        + address.getPort() + "\",\"slots\":6,\"state\":\"ready\"}";
                fleet.store.put("servers/" + id, entry);
                fleet.log("another writer puts servers/" + id + " " + entry);
            } else if (disturbed && (beats == 5 || beats == 7 || beats == 9)) {
                fleet.log("server " + id + " has written its own entry again");
            }
        }

        @Override
        boolean answer(Http head, java.net.Socket socket) throws IOException {
            boolean sent = head.header("X-Target-Instance").equals(id);
            if (sent && head.startLine.contains("/pay/")) {
                MISROUTED.add(head.header("X-Attempt-Id"));
            }
            return super.answer(head, socket);
        }
    }

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoOnFailure();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", Fleet.configuration(1, 1000, 1000));
        for (int number = 1; number <= 3; number++) {
            new Upstream("i-ledger-" + number, fleet, 480);
        }
        new Archive("i-archive-1", fleet, trouble);
        new Archive("i-archive-2", fleet, false);
        List<Fleet.Host> hosts = fleet.startHosts(3, Map.of());
        fleet.awaitReady(hosts);

        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        long end = fleet.millis() + 14_000;
        for (int number = 0; fleet.millis() < end; number++) {
            Fleet.Host host = hosts.get(number % hosts.size());
            Upstream.daemon(() -> {
                try {
                    Client client = new Client(fleet, host.address());
                    sent.incrementAndGet();
                    served.addAndGet(client.book().status() == 200 ? 1 : 0);
                    client.close();
                } catch (IOException refused) {
                    fleet.log("not accepted: " + refused.getMessage());
                }
            });
            Thread.sleep(26);
        }
        Thread.sleep(5_000);
        int run = 0;
        for (String id : MISROUTED) {
            if (Upstream.RUNS.containsKey(id)) {
                run++;
                fleet.log("booking " + id + " on a route to " + Fleet.SERVICE + " was run by a server of archive");
            }
        }
        String figures = "bookings sent: " + sent + ", served: " + served + ", run by a server of archive: " + run;
        fleet.finish(served.get() == 0 ? 2 : run > 0 ? 1 : 0, figures);
    }
}
