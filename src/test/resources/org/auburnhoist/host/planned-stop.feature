Feature: A planned stop cuts no request (I10)
  Guards against requests that are cut or refused by a host that stops while callers still use its address.

  Scenario: callers go on using the host until their addresses have expired
    Given 3 entry hosts in front of 3 servers
    And 4 callers send requests to host 3 without pause
    And 3 bookings issued by host 1 run through host 3
    When host 3 begins a planned stop
    And host 3 still answers callers while it stops
    Then host 3 has stopped
    And the bookings are answered
    And no caller saw a failed or broken request
