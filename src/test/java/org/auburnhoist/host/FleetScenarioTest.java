package org.auburnhoist.host;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/**
 * Runs the feature files of this package, which check the guarantees of entry hosts under failures on loopback sockets.
 */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.auburnhoist.host")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.auburnhoist.host")
class FleetScenarioTest {}
