package org.auburnhoist.load;

/**
 * A fault of simulated servers.
 *
 * @param server the server's name, or empty for all servers
 * @param fromSeconds start of the fault
 * @param toSeconds end of the fault
 * @param failureShare share of the requests that fail, from 0 to 1
 * @param slowShare share of the requests that are slow, from 0 to 1
 * @param slowFactor how many times longer the slow requests take
 * @param flapSeconds length of the alternating active and inactive periods; 0 if the fault stays active
 */
public record ServerFault(
        String server,
        double fromSeconds,
        double toSeconds,
        double failureShare,
        double slowShare,
        double slowFactor,
        double flapSeconds) {

    /** Returns a fault with which a share of the requests fails. */
    public static ServerFault failing(String server, double fromSeconds, double share) {
        return new ServerFault(server, fromSeconds, Double.MAX_VALUE, share, 0, 1, 0);
    }

    /** Returns a fault with which a share of the requests takes longer. */
    public static ServerFault slow(String server, double fromSeconds, double toSeconds, double share, double factor) {
        return new ServerFault(server, fromSeconds, toSeconds, 0, share, factor, 0);
    }

    /** Returns a fault that alternates between periods of equal length in which all requests fail, and none. */
    public static ServerFault flapping(String server, double fromSeconds, double flapSeconds) {
        return new ServerFault(server, fromSeconds, Double.MAX_VALUE, 1, 0, 1, flapSeconds);
    }

    boolean isActive(String name, double seconds) {
        boolean present = flapSeconds == 0 || (long) ((seconds - fromSeconds) / flapSeconds) % 2 == 0;
        return present && seconds >= fromSeconds && seconds < toSeconds && (server.isEmpty() || server.equals(name));
    }
}
