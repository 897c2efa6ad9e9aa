package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.Roster;

/** Requests the planned stop of a host. */
final class HostsLeaveCommand implements Command {
    @Override
    public String name() {
        return "hosts leave";
    }

    @Override
    public String summary() {
        return "Marks a host as leaving; it hands over what it owns, finishes its requests and exits.";
    }

    @Override
    public String operandLabel() {
        return "HOST-NAME";
    }

    @Override
    public int minimumOperands() {
        return 1;
    }

    @Override
    public int maximumOperands() {
        return 1;
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(CommonSettings.STORE.asRequired(), CommonSettings.STORE_TIMEOUT);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        String name = settings.operands().get(0);
        return StoreAccess.withStore(settings, context, store -> {
            RosterRepository repository = new RosterRepository(store, settings.get(CommonSettings.STORE_TIMEOUT));
            return repository.read().flatMap(roster -> leave(repository, roster, name, context));
        });
    }

    private static Either<Failure, ExitCode> leave(
            RosterRepository repository, Roster roster, String name, CommandContext context) {
        Optional<HostId> host = roster.members().stream()
                .map(Member::id)
                .filter(id -> id.name().equals(name))
                .findFirst();
        if (host.isEmpty()) {
            return Either.left(
                    new Failure(ExitCode.REFUSED, "host: expected the name of a member, found \"" + name + "\""));
        }
        return repository
                .updateWithRetry(current -> current.markLeaving(host.get()))
                .map(next -> {
                    context.out().println(host.get() + " is marked as leaving in roster version " + next.version());
                    return ExitCode.DONE;
                });
    }
}
