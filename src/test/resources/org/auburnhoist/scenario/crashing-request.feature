Feature: A request that crashes every server that runs it is quarantined

  Background:
    Given a service of 5 servers with 2 slots each and a floor of 50%

  Scenario: it is refused after three crashes
    When a request that crashes servers is sent 10 times among other traffic
    Then servers crashed at most 3 times
    And the crashing request is refused as "QUARANTINED"
    And no other request was refused as "QUARANTINED"
    And 5 servers are in use

  Scenario: it is accepted again after ten minutes
    When a request that crashes servers is sent 10 times among other traffic
    And 601 seconds pass
    Then the crashing request is accepted
