import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A request that crashes each server that begins to run it comes again and again. With "roll" the entry hosts are
 * restarted in turn meanwhile, as for a new release; with "dark" the servers crash with their machines, silently.
 */
final class PoisonCase {
    private static final String POISON = "/pay/poison";
    private static final long CONTACT_MILLIS = 3_000;
    private static final long BACK_AFTER_MILLIS = 3_000;

    /** Milliseconds at which attempts of the request have crashed a server, by attempt. */
    private static final Map<String, Long> CRASHES = new ConcurrentHashMap<>();

    private static boolean dark;
    private static boolean poisonous = true;

    /** A server that crashes when it begins to run the request and is back after some seconds. */
    private static final class CrashingUpstream extends Upstream {
        CrashingUpstream(String id, Fleet fleet) throws IOException {
            super(id, fleet, 100);
        }

        @Override
        boolean answer(Http head, Socket socket) throws IOException {
            if (poisonous && head.startLine.contains(POISON) && head.header("X-Target-Instance").equals(id)) {
                String attempt = head.header("X-Attempt-Id");
                ran(attempt, head);
                CRASHES.putIfAbsent(attempt, fleet.millis());
                if (dark) {
                    darken();
                } else {
                    crash();
                }
                daemon(() -> {
                    sleep(BACK_AFTER_MILLIS);
                    try {
                        new CrashingUpstream("i-" + Fleet.newId(), fleet);
                    } catch (IOException taken) {
                        fleet.log("the server did not come back: " + taken.getMessage());
                    }
                });
                sleep(dark ? 600_000 : 0);
                return false;
            }
            if (isDark()) {
                sleep(600_000);
            }
            return super.answer(head, socket);
        }
    }

    private record Attempt(String id, Fleet.Host host, long sentMillis, int status) {}

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoOnFailure();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        dark = arguments[1].equals("dark");
        poisonous = trouble || !dark;
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", Fleet.configuration(1, 1000, 1000));
        for (int number = 1; number <= 8; number++) {
            new CrashingUpstream("i-" + Fleet.newId(), fleet);
        }
        List<Fleet.Host> hosts = fleet.startHosts(3, Map.of());
        fleet.awaitReady(hosts);
        Thread.sleep(4_000);

        // Other callers use all hosts all the time.
        List<Long> served = new ArrayList<>();
        Upstream.daemon(() -> otherCallers(fleet, hosts, served));

        // The time at which each host was last disturbed.
        Map<Fleet.Host, Long> disturbed = new ConcurrentHashMap<>();
        Thread roll = new Thread(() -> roll(fleet, hosts, disturbed));
        List<Attempt> attempts = new ArrayList<>();
        long end = fleet.millis() + 70_000;
        long rollAt = fleet.millis() + 20_000;
        boolean rolling = false;
        int next = 0;
        while (fleet.millis() < end) {
            if (trouble && !dark && !rolling && fleet.millis() > rollAt) {
                rolling = true;
                roll.start();
            }
            Fleet.Host host = inTouch(fleet, hosts, disturbed, next++);
            if (host != null) {
                long sent = fleet.millis();
                String id = Fleet.newId();
                fleet.log("caller sends " + id + " " + POISON + " to " + host.name);
                int status = send(host, id);
                fleet.log("caller gets " + status + " for " + id);
                attempts.add(new Attempt(id, host, sent, status));
            }
            Thread.sleep(1_500);
        }

        List<Long> crashTimes = CRASHES.values().stream().sorted().toList();
        if (!poisonous) {
            long ok = attempts.stream().filter(attempt -> attempt.status() == 200).count();
            fleet.finish(ok == 0 ? 2 : 0, "attempts: " + attempts.size() + ", served: " + ok + ", crashes: 0");
        }
        if (crashTimes.size() < 3) {
            fleet.finish(2, "the case could not run: " + crashTimes.size() + " crashes");
        }
        long third = crashTimes.get(2);
        int retries = 0;
        for (Attempt attempt : attempts) {
            if (attempt.sentMillis() > third + CONTACT_MILLIS && CRASHES.containsKey(attempt.id())) {
                retries++;
                fleet.log("retry " + attempt.id() + " reached a server " + (attempt.sentMillis() - third)
                        + " ms after the third crash, sent by " + attempt.host().name);
            }
        }
        fleet.finish(
                retries > 3 ? 1 : 0,
                "attempts of the request: " + attempts.size() + ", crashes: " + crashTimes.size()
                        + ", retries that reached a server over " + CONTACT_MILLIS
                        + " ms after the third crash, sent by machines in touch: " + retries + " (3 are allowed)");
    }

    /** A host without a disturbance in the last 3 s, other than the one whose turn it is. */
    private static Fleet.Host inTouch(
            Fleet fleet, List<Fleet.Host> hosts, Map<Fleet.Host, Long> disturbed, int next) {
        for (int offset = 0; offset < hosts.size(); offset++) {
            Fleet.Host host = hosts.get((next + offset) % hosts.size());
            long since = disturbed.getOrDefault(host, 0L);
            if (since == 0 || (since != Long.MAX_VALUE && fleet.millis() - since > CONTACT_MILLIS + 500)) {
                return host;
            }
        }
        return null;
    }

    /** SIGTERM to each host in turn; it is started again when it has ended, and the next one follows. */
    private static void roll(Fleet fleet, List<Fleet.Host> hosts, Map<Fleet.Host, Long> disturbed) {
        try {
            for (Fleet.Host host : hosts) {
                disturbed.put(host, Long.MAX_VALUE);
                host.signal("TERM");
                host.process.waitFor();
                fleet.log(host.name + " has ended");
                fleet.start(host, false, Map.of(), "");
                fleet.awaitReady(List.of(host));
                disturbed.put(host, fleet.millis());
                Thread.sleep(6_000);
            }
        } catch (Exception cause) {
            fleet.log("restart failed: " + cause);
        }
    }

    private static void otherCallers(Fleet fleet, List<Fleet.Host> hosts, List<Long> served) {
        int number = 0;
        while (true) {
            Fleet.Host host = hosts.get(number++ % hosts.size());
            Upstream.daemon(() -> {
                try {
                    Client client = new Client(fleet, host.address());
                    client.book();
                    client.close();
                } catch (IOException refused) {
                    // The host is being restarted.
                }
            });
            Upstream.sleep(100);
        }
    }

    private static int send(Fleet.Host host, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(host.address(), 1_000);
            socket.setSoTimeout(8_000);
            socket.getOutputStream()
                    .write((Client.head("POST", POISON, "pay.example", id, 8_000, 2) + "{}").getBytes());
            Http answer = Http.read(socket.getInputStream(), true);
            return answer == null ? 0 : answer.status();
        } catch (IOException failed) {
            return 0;
        }
    }
}
