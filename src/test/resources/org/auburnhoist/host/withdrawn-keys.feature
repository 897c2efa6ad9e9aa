Feature: A withdrawn key stops working on every host, also on open connections (I4)
  Guards against a key that is checked once per connection, and against hosts that keep using an outdated configuration.

  Background:
    Given 3 entry hosts in front of 1 servers
    And a caller holds an open connection to every host

  Scenario: one host cannot reach the store
    Given host 3 cannot reach the store
    When the caller's key is withdrawn
    Then host 1 refuses the caller on the open connection as "key-withdrawn"
    And host 2 refuses the caller on the open connection as "key-withdrawn"
    And host 3 refuses the caller on the open connection as "key-withdrawn"
    And hosts "1, 2, 3" serve the team's other key

  Scenario: one host is partitioned from all others and from the store
    Given host 3 and the other hosts cannot ask each other
    And host 3 cannot reach the store
    When the caller's key is withdrawn
    Then host 3 refuses the caller on the open connection as "host-isolated"
    And host 1 refuses the caller on the open connection as "key-withdrawn"
    And hosts "1, 2" serve the team's other key

  Scenario: one host receives calls, but its own calls fail
    Given host 3 cannot ask the other hosts, although they can ask it
    And host 3 cannot reach the store
    When the caller's key is withdrawn
    Then host 3 refuses the caller on the open connection as "host-isolated"
    And host 2 refuses the caller on the open connection as "key-withdrawn"
    And hosts "1, 2" serve the team's other key

  Scenario: the store is unavailable for all hosts
    When no host can reach the store
    And twice the freshness limit passes at every host
    Then hosts "1, 2, 3" serve the team's other key
