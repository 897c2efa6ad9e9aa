package org.auburnhoist.load;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationFile;

/** Reads the configurations of the example deployments, which are bundled as resources. */
public final class ExampleConfiguration {
    private static final List<String> FILES = List.of("teams.yaml", "keys.yaml", "services.yaml", "routes.yaml");

    private ExampleConfiguration() {}

    /**
     * Reads the files of a deployment.
     *
     * @param deployment {@code starglass} or {@code rosewood}
     * @throws IOException if a resource is missing
     */
    public static List<ConfigurationFile> files(String deployment) throws IOException {
        List<ConfigurationFile> files = new ArrayList<>();
        for (String name : FILES) {
            String resource = "/examples/" + deployment + "/" + name;
            try (InputStream in = ExampleConfiguration.class.getResourceAsStream(resource)) {
                if (in == null) {
                    throw new IOException("the program lacks its resource " + resource);
                }
                files.add(new ConfigurationFile(name, in.readAllBytes()));
            }
        }
        return files;
    }
}
