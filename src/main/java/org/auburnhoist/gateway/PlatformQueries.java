package org.auburnhoist.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.host.HostMetrics;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.RequestPolicy;

/** Answers which hosts accept callers, whether this one does, and what its metrics are. */
final class PlatformQueries implements RequestPolicy {
    /** Maximum number of addresses that a caller uses from one response. */
    private static final int MAX_ADDRESSES = 64;

    /** Callers also get hosts of other data centres if their own has less than one in this many of the hosts. */
    private static final int MAX_DATA_CENTRES = 5;
    /** With fewer hosts in the caller's data centre, the loss of one would be noticeable. */
    private static final int MIN_NEAR_HOSTS = 4;

    private static final String METRICS_PATH = "/metrics";

    private final PlatformBinding binding;
    private final GatewaySettings settings;
    private final ControlThread control;
    private final FleetView fleet;
    private final BooleanSupplier ready;
    private final HostMetrics metrics;
    private final Random random;

    PlatformQueries(
            PlatformBinding binding,
            GatewaySettings settings,
            ControlThread control,
            FleetView fleet,
            BooleanSupplier ready,
            HostMetrics metrics,
            Random random) {
        this.binding = binding;
        this.settings = settings;
        this.control = control;
        this.fleet = fleet;
        this.ready = ready;
        this.metrics = metrics;
        this.random = random;
    }

    @Override
    public CompletionStage<Admission> admit(RequestHead head, long nowNanos) {
        if (binding.isReadinessQuery(head)) {
            int status = ready.getAsBoolean() ? 200 : 503;
            return completed(new RecordedResponse(status, List.of(), new byte[0], true));
        }
        if (binding.isAddressQuery(head)) {
            return control.compute(now -> addresses(head, now));
        }
        if (head.path().equals(METRICS_PATH)) {
            byte[] text = metrics.prometheusText().getBytes(StandardCharsets.UTF_8);
            return completed(new RecordedResponse(200, List.of(), text, true));
        }
        return CompletableFuture.completedFuture(
                new Admission.Refused(Refusal.ROUTE_UNKNOWN, "no such endpoint", -1, List.of()));
    }

    private Admission addresses(RequestHead head, long nowNanos) {
        String dataCentre = binding.callerDataCentre(head);
        List<FleetMember> hosts =
                new ArrayList<>(fleet.hostsForCallers(ready.getAsBoolean(), Integer.MAX_VALUE, nowNanos));
        if (hosts.isEmpty()) {
            return new Admission.Refused(Refusal.HOST_ISOLATED, "no host takes callers at present", 500, List.of());
        }
        Collections.shuffle(hosts, random);
        List<FleetMember> near = hosts.stream()
                .filter(host -> host.dataCentre().equals(dataCentre))
                .toList();
        // Callers choose at random, so only near hosts are returned as long as they can carry their share.
        List<FleetMember> chosen =
                near.size() * MAX_DATA_CENTRES >= hosts.size() && near.size() >= MIN_NEAR_HOSTS ? near : hosts;
        List<String> addresses = chosen.stream()
                .limit(MAX_ADDRESSES)
                .map(FleetMember::callerAddress)
                .toList();
        return new Admission.Answered(binding.addressResponse(addresses, settings.addressValidity()));
    }

    private static CompletionStage<Admission> completed(RecordedResponse answer) {
        return CompletableFuture.completedFuture(new Admission.Answered(answer));
    }
}
