package org.auburnhoist.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;

/** Settings that several commands share. */
final class CommonSettings {
    static final Setting<List<InetSocketAddress>> STORE = Setting.addresses("store", "servers of the platform's store");

    static final Setting<Duration> STORE_TIMEOUT = Setting.duration(
                    "store-timeout", "longest wait for each answer of the store")
            .withDefault(Duration.ofSeconds(5));

    static final Setting<String> OPERATOR = Setting.text(
                    "operator",
                    "NAME",
                    "who makes the change, for the record",
                    "a name of 1 to 64 letters, digits and the characters . _ @ -",
                    Pattern.compile("[\\p{L}\\p{N}._@-]{1,64}"))
            .withDefault("unnamed");

    static final Setting<Long> EXPECT_VERSION = Setting.integer(
            "expect-version", "version that the change was prepared for; default the newest", 0, 1_000_000_000_000L);

    static final Setting<Duration> WAIT = Setting.duration(
                    "wait", "longest wait until all hosts have the change in force; 0s asks no host")
            .withDefault(Duration.ofSeconds(15));

    private CommonSettings() {}
}
