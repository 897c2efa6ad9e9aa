package org.auburnhoist.gateway;

/** Store keys of the fleet's own entries. */
final class GatewayKeys {
    static final String PREFIX = "auburnhoist/";
    static final String SECRET = PREFIX + "secret";
    static final String MEMBERS = PREFIX + "hosts/";

    private GatewayKeys() {}

    static String memberKey(String name) {
        return MEMBERS + name;
    }
}
