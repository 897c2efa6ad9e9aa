package org.auburnhoist.cli;

import java.net.InetSocketAddress;
import java.util.List;
import org.auburnhoist.emulator.StoreEmulator;

/** Runs an emulated store in a separate process, for trials on one machine. */
final class StoreEmulatorCommand implements Command {
    private static final Setting<List<InetSocketAddress>> LISTEN = Setting.addresses(
                    "listen", "address of the emulated store, on 127.0.0.1")
            .asRequired();

    @Override
    public String name() {
        return "store-emulator";
    }

    @Override
    public String summary() {
        return "Runs an emulated store for trials on one machine; its content is lost when it ends.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(LISTEN);
    }

    @Override
    public List<SettingFinding> validate(Settings settings) {
        List<InetSocketAddress> addresses = settings.get(LISTEN);
        boolean valid = addresses.size() == 1 && LoopbackAddress.isLoopback(addresses.get(0));
        return valid
                ? List.of()
                : List.of(new SettingFinding("--listen", "one address on 127.0.0.1", addresses.toString()));
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        int port = settings.get(LISTEN).get(0).getPort();
        return StopSignal.runTask(context, signal -> {
            try (StoreEmulator emulator = StoreEmulator.builder().port(port).start()) {
                context.out().println("emulated store on " + emulator.address().getAuthority());
                context.out().flush();
                signal.await(emulator::close);
                return ExitCode.DONE;
            }
        });
    }
}
