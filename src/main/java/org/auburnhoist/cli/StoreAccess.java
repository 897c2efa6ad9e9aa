package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.util.function.Function;
import org.auburnhoist.store.Store;

/** Opens the store for the commands that use it. */
final class StoreAccess {
    private StoreAccess() {}

    /** Opens the store, runs a task with it and closes it. */
    static ExitCode withStore(
            Settings settings, CommandContext context, Function<Store, Either<Failure, ExitCode>> task) {
        Either<String, Store> opened = context.stores().open(settings.get(CommonSettings.STORE));
        if (opened.isLeft()) {
            return new Failure(ExitCode.UNAVAILABLE, "store unavailable: " + opened.getLeft()).report(context);
        }
        try (Store store = opened.get()) {
            return task.apply(store).getOrElseGet(failure -> failure.report(context));
        }
    }
}
