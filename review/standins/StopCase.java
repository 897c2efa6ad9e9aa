import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** SIGTERM of an entry host whose callers keep connections open, as long as they may keep its address. */
final class StopCase {
    private static final int CALLERS = 60;
    private static final long GRACE_MILLIS = 6_000;
    private static final double MAX_TTL_SECONDS = 5;

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoOnFailure();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", Fleet.configuration(1, 1000, 1000));
        for (int number = 1; number <= 5; number++) {
            new Upstream("i-" + number, fleet, 480);
        }
        List<Fleet.Host> hosts = fleet.startHosts(3, Map.of());
        fleet.awaitReady(hosts);
        Thread.sleep(4_000);
        Fleet.Host stopped = hosts.get(0);

        // Each caller asks for the addresses at a time of its own and uses them for three times the ttl_s of the answer. It
        // has one open connection to the host, on which it has got one answer, and sends its next booking 0.2 s before
        // it would ask for the addresses again.
        long signalAt = fleet.millis() + 8_000;
        ConcurrentLinkedQueue<Client.Result> results = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            long resolvedAt = signalAt - 6_000 + 100L * number;
            Thread thread = new Thread(() -> caller(fleet, stopped, resolvedAt, results));
            threads.add(thread);
            thread.start();
        }
        sleepUntil(fleet, signalAt);
        if (trouble) {
            stopped.signal("TERM");
        }
        long termMillis = fleet.millis();
        for (Thread thread : threads) {
            thread.join();
        }
        Thread.sleep(1_000);

        int sentAfter = 0;
        int lost = 0;
        int excused = 0;
        for (Client.Result result : results) {
            if (result.status() < 0) {
                continue;
            }
            boolean after = result.sentMillis() >= termMillis;
            sentAfter += after ? 1 : 0;
            boolean passedOn = Upstream.RUNS.containsKey(result.id());
            if (result.status() != 0 || !passedOn) {
                continue;
            }
            boolean inLastSixth = result.endMillis() >= termMillis + GRACE_MILLIS * 5 / 6;
            if (result.sentMillis() <= termMillis + 3_000 && inLastSixth) {
                excused++;
            } else if (result.sentMillis() <= termMillis + GRACE_MILLIS + 1_000) {
                lost++;
                fleet.log("LOST " + result.id() + ", sent " + (result.sentMillis() - termMillis)
                        + " ms after the SIGTERM, run by a server, connection ended "
                        + (result.endMillis() - termMillis) + " ms after the SIGTERM without an answer");
            }
        }
        if (sentAfter == 0) {
            fleet.finish(2, "the case could not run: nothing was sent after the signal");
        }
        fleet.finish(
                lost > 0 ? 1 : 0,
                "bookings sent after the signal: " + sentAfter + ", run by a server and cut without an answer: " + lost
                        + ", excused: " + excused);
    }

    private static void caller(
            Fleet fleet, Fleet.Host host, long resolvedAt, ConcurrentLinkedQueue<Client.Result> results) {
        try {
            sleepUntil(fleet, resolvedAt);
            long askedAt = fleet.millis();
            double seconds = validSeconds(host);
            if (seconds < 0) {
                fleet.log("the answer doesn't name " + host.name);
                return;
            }
            Client client = new Client(fleet, host.address());
            results.add(client.book());
            sleepUntil(fleet, askedAt + (long) (3_000 * Math.min(MAX_TTL_SECONDS, seconds)) - 200);
            results.add(client.book());
            client.close();
        } catch (Exception refused) {
            results.add(new Client.Result("", -1, 0, 0, true));
        }
    }

    /** Asks the directory for the addresses; returns their {@code ttl_s}, or -1 if the host isn't among them. */
    private static double validSeconds(Fleet.Host host) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(host.directoryAddress(), 1_000);
            socket.setSoTimeout(2_000);
            socket.getOutputStream()
                    .write(("GET /api/resolve?name=pay.example&region=cairo&zone=cairo-zamalek HTTP/1.1\r\n"
                                    + "Host: directory\r\nConnection: close\r\n\r\n")
                            .getBytes());
            Http answer = Http.read(socket.getInputStream(), true);
            String body = answer == null ? "" : new String(answer.body);
            String address = host.ip + ":" + host.address().getPort();
            Matcher ttl = Pattern.compile("\"ttl_s\":([0-9.]+)").matcher(body);
            return body.contains(address) && ttl.find() ? Double.parseDouble(ttl.group(1)) : -1;
        }
    }

    private static void sleepUntil(Fleet fleet, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - fleet.millis()));
    }
}
