Feature: A booking runs at most once (I8)

  Background:
    Given the entry hosts "cairo-1", "cairo-2" and "cairo-3"
    And an operation issued by "cairo-1"

  Scenario: the caller sends the booking again through another host while it runs
    When "cairo-2" claims the operation
    Then "cairo-2" is told "GRANTED"
    When "cairo-3" claims the operation
    Then "cairo-3" is told "RUNNING"

  Scenario: the caller never got the answer and asks again
    When "cairo-2" claims the operation
    And "cairo-2" reports the answer 201
    And "cairo-3" claims the operation
    Then "cairo-3" is told "DONE" with status 201

  Scenario: the host that ran the booking dies
    When "cairo-2" claims the operation
    And "cairo-2" is removed from the roster
    And "cairo-3" claims the operation
    Then "cairo-3" is told "UNKNOWN"

  Scenario: the host could not reach any server and gives the claim back
    When "cairo-2" claims the operation
    And "cairo-2" reports that nothing was sent
    And "cairo-3" claims the operation
    Then "cairo-3" is told "GRANTED"

  Scenario: the home restarts and has forgotten what ran
    When "cairo-2" claims the operation
    And "cairo-1" restarts
    And "cairo-3" claims the operation
    Then "cairo-3" is told "NOT_HOME"

  Scenario: the home stops as planned and hands over
    When "cairo-2" claims the operation
    And "cairo-2" reports the answer 201
    And "cairo-1" hands over to "cairo-3"
    And "cairo-2" claims the operation at "cairo-3"
    Then "cairo-2" is told "DONE" with status 201

  Scenario: the id is older than an hour
    When 3602 seconds go by
    And "cairo-2" claims the operation
    Then "cairo-2" is told "EXPIRED"
