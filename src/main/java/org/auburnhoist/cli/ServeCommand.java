package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.auburnhoist.core.configuration.NetworkAddress;
import org.auburnhoist.host.HostProcess;
import org.auburnhoist.host.HostSettings;
import org.auburnhoist.peer.PeerSettings;
import org.auburnhoist.store.Store;

/** Runs an entry host until it is stopped. */
final class ServeCommand implements Command {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private static final Setting<String> HOST_NAME = Setting.text(
                    "name",
                    "NAME",
                    "the host's name, unique in the fleet",
                    "1 to 64 letters, digits, . _ -",
                    NAME_PATTERN)
            .asRequired();

    private static final Setting<String> DATA_CENTRE = Setting.text(
                    "data-centre", "NAME", "the host's data centre", "1 to 64 letters, digits, . _ -", NAME_PATTERN)
            .asRequired();

    private static final Setting<List<InetSocketAddress>> LISTEN =
            Setting.addresses("listen", "address for callers").asRequired();

    private static final Setting<List<InetSocketAddress>> PEER_LISTEN =
            Setting.addresses("peer-listen", "address for other hosts").asRequired();

    static final Setting<String> FLEET_SECRET = Setting.text(
                    "fleet-secret",
                    "SECRET",
                    "secret that all hosts share; better given in the environment than on the command line",
                    "at least " + PeerSettings.MIN_SECRET_LENGTH + " characters",
                    Pattern.compile(".{" + PeerSettings.MIN_SECRET_LENGTH + ",}"))
            .asConfidential()
            .asRequired();

    private static final Setting<Long> THREADS = Setting.integer(
                    "traffic-threads", "I/O threads on each side of the proxy", 1, 64)
            .withDefault(2L);

    private static final Setting<Duration> ADDRESS_VALIDITY = Setting.duration(
                    "address-validity", "how long callers may keep an address answer")
            .withDefault(Duration.ofSeconds(10));

    private static final Setting<Duration> STOP_LIMIT = Setting.duration(
                    "stop-limit", "longest wait of a planned stop for requests in progress")
            .withDefault(Duration.ofSeconds(60));

    private static final Setting<URI> HOST_LIST = Setting.of(
            "host-list",
            "URL",
            "the platform's list of live and leaving hosts",
            "a URL with an IP address, such as http://127.0.0.1:8500/hosts",
            ServeCommand::parseUrl);

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String summary() {
        return "Runs an entry host; SIGTERM begins a planned stop, which interrupts no request.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(
                HOST_NAME,
                DATA_CENTRE,
                LISTEN,
                PEER_LISTEN,
                CommonSettings.STORE.asRequired(),
                FLEET_SECRET,
                THREADS,
                ADDRESS_VALIDITY,
                STOP_LIMIT,
                HOST_LIST);
    }

    @Override
    public List<SettingFinding> validate(Settings settings) {
        return settings.get(LISTEN).equals(settings.get(PEER_LISTEN))
                ? List.of(new SettingFinding("--peer-listen", "an address other than --listen", "the same address"))
                : List.of();
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        Either<String, Store> opened = context.stores().open(settings.get(CommonSettings.STORE));
        if (opened.isLeft()) {
            context.err().println("store: " + opened.getLeft());
            return ExitCode.UNAVAILABLE;
        }
        return StopSignal.runTask(context, signal -> {
            try (Store store = opened.get()) {
                HostProcess process = HostProcess.start(hostSettings(settings), store);
                signal.handle(() -> process.stop().join());
                process.awaitStop();
                return ExitCode.DONE;
            }
        });
    }

    private static HostSettings hostSettings(Settings settings) {
        return HostSettings.builder(settings.get(HOST_NAME), settings.get(DATA_CENTRE))
                .callerAddress(settings.get(LISTEN).get(0))
                .peerAddress(settings.get(PEER_LISTEN).get(0))
                .storeEndpoints(settings.get(CommonSettings.STORE).stream()
                        .map(address -> URI.create("http://" + address.getHostString() + ":" + address.getPort()))
                        .toList())
                .fleetSecret(settings.get(FLEET_SECRET))
                .trafficThreads(Math.toIntExact(settings.get(THREADS)))
                .addressValidity(settings.get(ADDRESS_VALIDITY))
                .stopLimit(settings.get(STOP_LIMIT))
                .hostList(settings.find(HOST_LIST).orElse(null))
                .build();
    }

    private static Optional<URI> parseUrl(String text) {
        try {
            URI url = new URI(text);
            return "http".equals(url.getScheme()) && NetworkAddress.isValid(String.valueOf(url.getAuthority()))
                    ? Optional.of(url)
                    : Optional.empty();
        } catch (URISyntaxException malformed) {
            return Optional.empty();
        }
    }
}
