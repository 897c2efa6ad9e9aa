Feature: No upstream server sees a caller's key (I3)
  Guards against a key that is forwarded with a first attempt, a retry or a resumed download.

  Scenario: requests of every kind, also when attempts fail and go to other servers
    Given 3 entry hosts in front of 3 servers
    And server "catalogue-1" fails all requests after it ran them
    And server "catalogue-2" truncates half of its answers
    When every host gets 15 lookups, bookings and downloads
    Then some requests were sent to more than one server
    And no server has seen a key
