Feature: A team gets no more than its rate and burst over all hosts together (I5)
  Guards against a second burst from a new owner of a bucket.

  Scenario: the owners of the team's buckets die and another host joins
    Given 5 entry hosts and a team with rate 1 and burst 8
    And the roster of 5 members is settled
    When callers ask every host 5 times
    And both hosts that own the team's buckets die
    And host 6 is started
    And the roster holds the 4 running hosts
    And callers ask every host until a request runs
    And callers ask every host 10 times
    Then at least 9 requests ran
    And the team got no more than rate 1 and burst 8 allow

  Scenario: an owner dies while the store is unavailable
    Given 3 entry hosts and a team with rate 1 and burst 8
    And the roster of 3 members is settled
    When no host can reach the store
    And callers ask every host 5 times
    And host 1 dies
    And callers ask every host 10 times
    And callers ask every host until a request runs
    Then the team got no more than rate 1 and burst 8 allow
