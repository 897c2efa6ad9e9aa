Feature: An accepted configuration is in force everywhere and never reverts (I11)
  Guards against changes that overwrite each other, get lost or are reverted.

  Background:
    Given 3 entry hosts in front of 1 servers

  Scenario: two operators race
    When two operators apply different changes to version 1 at the same time
    Then one change is accepted and the other operator is told of a conflict
    And every host has the accepted change in force as version 2

  Scenario: the answer to the write is lost
    When an operator applies a change and the answer to the write is lost
    Then the operator is told that version 2 is accepted
    And every host has the accepted change in force as version 2

  Scenario: the store's cache answers with an older version
    Given a caller holds an open connection to every host
    And the caller's key is withdrawn while the store's cache keeps the former version
    When host 2 has read the former version 5 times
    Then every host still has version 2 in force
    And host 2 refuses the caller on the open connection as "key-withdrawn"

  Scenario: a host starts while the store is unavailable
    When no host can reach the store
    And host 4 is started
    Then host 4 refuses 20 requests as "host-isolated"
    When the store can be reached again
    Then hosts "4" serve the team's other key
