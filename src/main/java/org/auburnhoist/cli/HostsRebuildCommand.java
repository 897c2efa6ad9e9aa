package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.Roster;

/** Creates a roster of only the remaining hosts after the loss of a majority of the hosts. */
final class HostsRebuildCommand implements Command {
    private static final Setting<List<String>> SURVIVORS = Setting.of(
            "survivors",
            "HOST[,HOST...]",
            "hosts that still run, by name or as NAME@INCARNATION",
            "names of hosts, separated by commas",
            HostsRebuildCommand::parseNames);

    private static final Setting<Boolean> ANSWERING =
            Setting.flag("answering", "keeps exactly the hosts that answer this command now");

    private static final Setting<Boolean> OTHERS_ARE_DEAD =
            Setting.flag("others-are-dead", "asserts that every other member has stopped and will not run again");

    private static final Pattern NAMES_PATTERN = Pattern.compile("[^,\\s]+(,[^,\\s]+)*");

    private final Function<Roster, FleetStatus> statusQuery;

    HostsRebuildCommand() {
        this(FleetStatus::query);
    }

    /** Queries the members with the given function. */
    HostsRebuildCommand(Function<Roster, FleetStatus> statusQuery) {
        this.statusQuery = statusQuery;
    }

    @Override
    public String name() {
        return "hosts rebuild";
    }

    @Override
    public String summary() {
        return "Declares all members but the named ones dead, after the loss of a majority of the hosts.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(
                CommonSettings.STORE.asRequired(), CommonSettings.STORE_TIMEOUT, SURVIVORS, ANSWERING, OTHERS_ARE_DEAD);
    }

    @Override
    public List<SettingFinding> validate(Settings settings) {
        boolean named = settings.find(SURVIVORS).isPresent();
        if (named != isSet(settings, ANSWERING)) {
            return List.of();
        }
        return List.of(new SettingFinding(
                "--survivors", "either --survivors or --answering", named ? "both" : "neither of them"));
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return StoreAccess.withStore(settings, context, store -> {
            RosterRepository repository = new RosterRepository(store, settings.get(CommonSettings.STORE_TIMEOUT));
            return repository
                    .replace(current -> rebuild(current, settings, context))
                    .map(next -> {
                        context.out().println("roster version: " + next.version());
                        return ExitCode.DONE;
                    });
        });
    }

    private Either<Failure, Roster> rebuild(Roster current, Settings settings, CommandContext context) {
        Either<Failure, Set<HostId>> resolved = settings.find(SURVIVORS)
                .map(names -> resolveNames(current, names))
                .orElseGet(() -> reachableMembers(current));
        return resolved.flatMap(survivors -> {
            print(current, survivors, context);
            return isSet(settings, OTHERS_ARE_DEAD)
                    ? Either.right(rebuild(current, survivors))
                    : Either.left(missingAssertion());
        });
    }

    private static Roster rebuild(Roster current, Set<HostId> survivors) {
        return current.rebuild(current.members().stream()
                .filter(member -> survivors.contains(member.id()))
                .toList());
    }

    private Either<Failure, Set<HostId>> reachableMembers(Roster current) {
        Set<HostId> reachable = statusQuery.apply(current).reports().stream()
                .filter(FleetStatus.Report::reachable)
                .map(report -> report.member().id())
                .collect(Collectors.toSet());
        return reachable.isEmpty()
                ? Either.left(new Failure(
                        ExitCode.REFUSED,
                        "--answering: expected at least one member that answers, found none; start a host and wait "
                                + "until status lists it"))
                : Either.right(reachable);
    }

    private static Either<Failure, Set<HostId>> resolveNames(Roster current, List<String> names) {
        Set<HostId> resolved = new LinkedHashSet<>();
        List<String> problems = new ArrayList<>();
        for (String name : names) {
            List<HostId> matching = current.members().stream()
                    .map(Member::id)
                    .filter(id -> id.name().equals(name) || id.toString().equals(name))
                    .toList();
            if (matching.size() == 1) {
                resolved.add(matching.get(0));
            } else {
                problems.add("--survivors: expected one member, found "
                        + (matching.isEmpty() ? "none" : matching.toString()) + " for \"" + name + "\"");
            }
        }
        return problems.isEmpty()
                ? Either.right(resolved)
                : Either.left(new Failure(ExitCode.REFUSED, String.join(System.lineSeparator(), problems)));
    }

    private static void print(Roster current, Set<HostId> survivors, CommandContext context) {
        for (Member member : current.members()) {
            String decision = survivors.contains(member.id()) ? "kept" : "declared dead";
            context.out().println(member.id() + " " + member.callerAddress() + ": " + decision);
        }
    }

    private static Failure missingAssertion() {
        return new Failure(
                ExitCode.REFUSED,
                "--others-are-dead: expected this assertion, found nothing; nothing was changed. If a host that is "
                        + "declared dead still runs, teams may get more than their rate.");
    }

    private static boolean isSet(Settings settings, Setting<Boolean> flag) {
        return settings.get(flag);
    }

    private static Optional<List<String>> parseNames(String text) {
        return NAMES_PATTERN.matcher(text).matches()
                ? Optional.of(Arrays.asList(text.split(",", -1)))
                : Optional.empty();
    }
}
