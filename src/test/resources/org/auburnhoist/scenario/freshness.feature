Feature: A host makes decisions only while its information is recent

  Background:
    Given a simulated fleet of 5 hosts that has run for 30 seconds

  Scenario: a paused host makes no decisions based on stale information
    When host 3 is paused for 20 seconds
    Then host 3 is not fresh at the moment it resumes
    And after 5 seconds host 3 is fresh

  Scenario: a withdrawal reaches every fresh host although one host was paused
    When host 3 is paused for 20 seconds
    And the configuration changes
    And the fleet runs for 15 seconds
    Then every fresh host has the newest configuration

  Scenario: a host cut off from all others and from the store stops deciding
    When host 2 is cut off from all hosts and from the store
    And the fleet runs for 7 seconds
    Then host 2 is not fresh
    And all hosts but host 2 are fresh

  Scenario: a host that can still reach the store keeps deciding
    When host 0 is cut off from all hosts
    And the fleet runs for 7 seconds
    Then host 0 is fresh

  Scenario: work continues during an hour without the store
    When the store is unavailable
    And the fleet runs for 3600 seconds
    Then at least 5 hosts are fresh
    And the large team has used at least 70% of its rate in the last hour
    And no invariant was violated

  Scenario: a minority stops deciding during an outage of the store
    When the store is unavailable
    And hosts 3 and 4 are cut off from the others
    And the fleet runs for 10 seconds
    Then hosts 0, 1 and 2 are fresh
    And hosts 3 and 4 are not fresh
