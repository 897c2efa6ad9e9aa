Feature: A refusal that says "not run" is true (I7)
  Guards against a request that is refused as not run although a server has started it.

  Scenario: the team exceeds its rate while servers fail
    Given 3 entry hosts and a team with rate 5 and burst 20
    And server "catalogue-1" fails all requests after it ran them
    When callers send 20 lookups and bookings, each with an id of its own
    Then some requests were refused as "rate-exceeded"
    And no request that was refused as not run has run

  Scenario: a server never answers and another one does not accept connections
    Given 3 entry hosts in front of 2 servers
    And server "catalogue-1" never answers
    And server "catalogue-2" crashes
    When callers send 12 lookups and bookings, each with an id of its own
    Then some requests were refused as "service-overloaded"
    And no request that was refused as not run has run

  Scenario: all servers refuse connections
    Given 3 entry hosts in front of 1 servers
    And server "catalogue-1" crashes
    When callers send 3 lookups and bookings, each with an id of its own
    Then some requests were refused as "upstream-unreachable"
    And no request that was refused as not run has run
