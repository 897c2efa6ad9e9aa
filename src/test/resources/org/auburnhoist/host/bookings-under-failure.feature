Feature: A booking runs at most once, whichever host fails (I8)
  Guards against a second run when the caller repeats a booking through other hosts.

  Background:
    Given 3 entry hosts in front of 3 servers
    And the roster of 3 members is settled

  Scenario: the caller repeats the booking while it runs
    Given 1 booking issued by host 1 runs through host 2
    When the booking is sent again through host 3
    Then it is refused as "operation-running"
    And the booking is answered
    And sent again through host 3 until it no longer runs, it gets the first answer
    And the booking ran once

  Scenario: the home dies while the booking runs
    Given 1 booking issued by host 1 runs through host 2
    When host 1 dies
    And the booking is sent again through host 3
    Then it is refused as "operation-unknown"
    And the booking is answered
    And the roster holds the 2 running hosts
    And sent again through host 3 until it no longer runs, it is refused as "operation-unknown"
    And the booking ran once

  Scenario: the host that runs the booking dies
    Given 1 booking issued by host 1 runs through host 2
    When host 2 dies
    Then sent again through host 3 until it no longer runs, it is refused as "operation-unknown"
    And the booking ran once

  Scenario: the home stops as planned
    Given 1 booking issued by host 1 runs through host 2
    When the booking is answered
    And host 1 begins a planned stop
    And host 1 has stopped
    And the roster holds the 2 running hosts
    Then sent again through host 3 until it no longer runs, it gets the first answer
    And sent again through host 2 until it no longer runs, it gets the first answer
    And the booking ran once
