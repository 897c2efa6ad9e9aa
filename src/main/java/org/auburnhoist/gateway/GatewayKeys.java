package org.auburnhoist.gateway;

/** Keys of the store that belong to the fleet itself. */
final class GatewayKeys {
    static final String PREFIX = "auburnhoist/";
    static final String SECRET = PREFIX + "secret";
    static final String MEMBERS = PREFIX + "hosts/";

    private GatewayKeys() {}

    static String memberKey(String name) {
        return MEMBERS + name;
    }
}
