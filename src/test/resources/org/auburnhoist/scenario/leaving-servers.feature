Feature: A leaving server gets no new requests (I9)

  Scenario: requests go to the other servers as soon as the change arrives
    Given a service of 3 servers with 2 slots each and a floor of 50%
    When server "s2" is marked leaving
    And requests arrive for 10 seconds
    Then server "s2" got no request after it was marked

  Scenario: a service with only leaving servers refuses requests
    Given a service of 1 servers with 2 slots each and a floor of 50%
    When server "s1" is marked leaving
    And requests arrive for 1 seconds
    Then server "s1" got no request after it was marked
    And requests were refused as "OVERLOADED"
