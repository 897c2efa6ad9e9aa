package org.auburnhoist.cli;

import org.auburnhoist.core.configuration.ConfigurationReader;

/** A command whose operands are configuration files. */
interface FilesCommand extends Command {
    @Override
    default String operandLabel() {
        return "FILE...";
    }

    @Override
    default int minimumOperands() {
        return 1;
    }

    @Override
    default int maximumOperands() {
        return ConfigurationReader.MAX_FILES;
    }
}
