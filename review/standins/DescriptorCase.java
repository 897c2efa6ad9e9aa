import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The usual traffic of a deployment, 100 requests a second, on its last entry host. Callers open a new connection for
 * each request and leave it to the host to close it when it has been idle for the operator's {@code idle_timeout_ms}.
 */
final class DescriptorCase {
    private static final int PER_SECOND = 100;
    private static final int MAX_DESCRIPTORS = 4_100;
    private static final int TRAFFIC_SECONDS = 55;
    private static final int CONTACT_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoOnFailure();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", Fleet.configuration(1, 1000, 1000));
        for (int number = 1; number <= 15; number++) {
            new Upstream("i-" + number, fleet, 480);
        }
        List<Fleet.Host> hosts = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            Fleet.Host host = fleet.new Host("edge-" + number, "127.0.1." + number);
            fleet.start(host, true, Map.of(), "ulimit -n " + MAX_DESCRIPTORS);
            hosts.add(host);
        }
        fleet.awaitReady(hosts);
        Thread.sleep(4_000);
        Fleet.Host last = hosts.get(0);
        if (trouble) {
            // The machines are lost for good.
            hosts.get(1).signal("KILL");
            hosts.get(2).signal("KILL");
        }
        Thread.sleep(CONTACT_MILLIS + 500);

        // The platform asks for readiness once a second, on a connection that it keeps.
        Readiness readiness = new Readiness(fleet, last);
        Upstream.daemon(readiness::run);

        List<Client> open = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        ExecutorService waiting = Executors.newCachedThreadPool();
        Semaphore answers = new Semaphore(0);
        long start = System.nanoTime();
        int total = PER_SECOND * TRAFFIC_SECONDS;
        int refusedInARow = 0;
        int sent = 0;
        for (; sent < total && refusedInARow < 20; sent++) {
            long due = start + sent * 1_000_000_000L / PER_SECOND;
            Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            Fleet.Host host = trouble ? last : hosts.get(sent % hosts.size());
            try {
                Client client = new Client(fleet, host.address());
                open.add(client);
                refusedInARow = 0;
                waiting.execute(() -> {
                    (client.book().status() == 200 ? served : failed).incrementAndGet();
                    answers.release();
                });
            } catch (IOException refused) {
                if (String.valueOf(refused.getMessage()).contains("Too many open files")) {
                    fleet.finish(2, "the case could not run: this process may open too few files itself");
                }
                refusedInARow++;
                fleet.log("a connection to " + host.name + " was not accepted: " + refused.getMessage());
            }
        }
        answers.tryAcquire(open.size(), 10, java.util.concurrent.TimeUnit.SECONDS);
        fleet.log("connections opened: " + open.size() + ", served: " + served + ", not served: " + failed
                + ", descriptors of " + last.name + ": " + descriptors(last));

        // The callers close all their connections. The host has room for thousands of new ones now.
        open.forEach(Client::close);
        Thread.sleep(2_000);
        fleet.log("all callers have closed their connections; descriptors of " + last.name + ": " + descriptors(last));
        int tries = 0;
        int accepted = 0;
        int readyBefore = readiness.ready.get();
        long end = System.nanoTime() + 10_000_000_000L;
        while (System.nanoTime() - end < 0) {
            for (int caller = 1; caller <= 8; caller++) {
                tries++;
                try {
                    Client client = new Client(fleet, last.address());
                    accepted += client.book().status() == 200 ? 1 : 0;
                    client.close();
                } catch (IOException refused) {
                    fleet.log("caller " + caller + ": " + last.name + " takes no new connection: "
                            + refused.getMessage());
                }
            }
            Thread.sleep(500);
        }
        int ready = readiness.ready.get() - readyBefore;
        String figures = "after all connections were closed, 8 callers tried for 10 s: " + tries + " tries, " + accepted
                + " served; the process runs: " + last.process.isAlive() + "; it said that it is ready " + ready
                + " times";
        if (!last.process.isAlive() || ready == 0) {
            fleet.finish(accepted > 0 ? 0 : 2, figures);
        }
        fleet.finish(accepted == 0 ? 1 : 0, figures);
    }

    private static int descriptors(Fleet.Host host) {
        String[] files = new java.io.File("/proc/" + host.process.pid() + "/fd").list();
        return files == null ? -1 : files.length;
    }

    /** Asks a host once a second whether it is ready. */
    private static final class Readiness {
        final AtomicInteger ready = new AtomicInteger();
        private final Fleet fleet;
        private final Fleet.Host host;

        Readiness(Fleet fleet, Fleet.Host host) {
            this.fleet = fleet;
            this.host = host;
        }

        void run() {
            try (Socket socket = new Socket()) {
                socket.connect(host.readyAddress(), 1000);
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                while (true) {
                    out.write("GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
                    Http answer = Http.read(in, true);
                    if (answer == null) {
                        break;
                    }
                    fleet.log("readiness of " + host.name + ": " + answer.status());
                    if (answer.status() == 200) {
                        ready.incrementAndGet();
                    }
                    Upstream.sleep(1_000);
                }
            } catch (IOException ended) {
                fleet.log("the question for readiness failed: " + ended.getMessage());
            }
        }
    }
}
