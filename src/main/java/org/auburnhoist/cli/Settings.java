package org.auburnhoist.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The valid settings of one run of a command. */
public final class Settings {
    private final Map<String, Object> values;
    private final List<String> operands;

    Settings(Map<String, Object> values, List<String> operands) {
        this.values = Map.copyOf(values);
        this.operands = List.copyOf(operands);
    }

    /**
     * The value of a setting that is required or has a default.
     *
     * @throws IllegalStateException if the setting is absent
     */
    public <T> T get(Setting<T> setting) {
        return find(setting)
                .orElseThrow(() -> new IllegalStateException(
                        "setting: expected one that is required or has a default, got " + setting.flag()));
    }

    /** The value of a setting, if it was given or has a default. */
    @SuppressWarnings("unchecked") // SettingsReader stores under a flag only what the flag's parser returned.
    public <T> Optional<T> find(Setting<T> setting) {
        Object value = values.get(setting.flag());
        return value == null ? setting.defaultValue() : Optional.of((T) value);
    }

    /** The arguments without a flag. */
    public List<String> operands() {
        return operands;
    }
}
