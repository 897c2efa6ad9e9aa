Feature: No team gets more than its rate and burst over all hosts together

  Scenario: the owner of a bucket fails
    Given a simulated fleet of 5 hosts that has run for 30 seconds
    When host 1 is replaced
    And the fleet runs for 40 seconds
    Then no invariant was violated
    And host 1's former incarnation owns no shard

  Scenario: the owner of a bucket is cut off while it believes that it owns the bucket
    Given a simulated fleet of 5 hosts that has run for 30 seconds
    When host 1 is cut off from all hosts
    And the fleet runs for 40 seconds
    Then no invariant was violated
    And host 1's former incarnation owns no shard

  Scenario: the owner fails while the member of lowest rank cannot reach the store
    Given a simulated fleet of 5 hosts that has run for 30 seconds
    When host 0 is cut off from the store
    And host 3 is replaced
    And the fleet runs for 40 seconds
    Then no invariant was violated
    And host 3's former incarnation owns no shard

  Scenario: a planned stop hands the levels over
    Given a simulated fleet of 5 hosts that has run for 30 seconds
    When host 1 is marked leaving
    And the fleet runs for 3 seconds
    Then every shard has a host that grants from it
    And no invariant was violated

  Scenario: a team that is removed and added again gets no second burst
    Given a team "county-office" with rate 1 and burst 4
    When the team asks for 6 tokens
    Then 4 tokens are granted
    When the team is removed and added again after 1 second
    And the team asks for 6 tokens
    Then 0 tokens are granted

  Scenario: a larger burst adds no tokens at once
    Given a team "county-office" with rate 1 and burst 1
    When the team asks for 2 tokens
    Then 1 tokens are granted
    When the team's burst becomes 8
    And the team asks for 8 tokens
    Then 0 tokens are granted
