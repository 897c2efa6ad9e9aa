package org.auburnhoist.scenario;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs every feature file of this package. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.auburnhoist.scenario")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.auburnhoist.scenario")
class ScenarioTest {}
