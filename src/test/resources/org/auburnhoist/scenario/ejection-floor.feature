Feature: Ejection never reduces the servers in use below the floor (I1)

  Background:
    Given a service of 6 servers with 2 slots each and a floor of 50%

  Scenario: a failing server is ejected
    When server "s1" fails all of its requests for 20 seconds
    Then server "s1" is ejected
    And 5 servers are in use

  Scenario: the floor holds when more servers fail than it allows
    When servers "s1, s2, s3, s4, s5" fail all of their requests for 20 seconds
    Then 3 servers are in use

  Scenario: a leaving server no longer counts
    When servers "s1, s2, s3" fail all of their requests for 20 seconds
    And server "s6" is marked leaving
    Then 3 servers are in use
