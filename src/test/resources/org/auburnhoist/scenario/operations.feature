Feature: A booking runs at most once (I8)

  Background:
    Given the entry hosts "cairo-1", "cairo-2" and "cairo-3"
    And an operation issued by "cairo-1"

  Scenario: the caller repeats the booking through another host while it runs
    When "cairo-2" claims the operation
    Then "cairo-2" is told "GRANTED"
    When "cairo-3" claims the operation
    Then "cairo-3" is told "RUNNING"

  Scenario: the caller did not receive the answer and repeats the booking
    When "cairo-2" claims the operation
    And "cairo-2" reports the answer 201
    And "cairo-3" claims the operation
    Then "cairo-3" is told "DONE" with status 201

  Scenario: the host that runs the booking fails
    When "cairo-2" claims the operation
    And "cairo-2" is removed from the roster
    And "cairo-3" claims the operation
    Then "cairo-3" is told "UNKNOWN"

  Scenario: the host cannot reach any server and releases the claim
    When "cairo-2" claims the operation
    And "cairo-2" reports that nothing was sent
    And "cairo-3" claims the operation
    Then "cairo-3" is told "GRANTED"

  Scenario: the home restarts and loses its records
    When "cairo-2" claims the operation
    And "cairo-1" restarts
    And "cairo-3" claims the operation
    Then "cairo-3" is told "NOT_HOME"

  Scenario: the home stops as planned and hands its records over
    When "cairo-2" claims the operation
    And "cairo-2" reports the answer 201
    And "cairo-1" hands over to "cairo-3"
    And "cairo-2" claims the operation at "cairo-3"
    Then "cairo-2" is told "DONE" with status 201

  Scenario: the id is older than its lifetime of one hour
    When 3602 seconds go by
    And "cairo-2" claims the operation
    Then "cairo-2" is told "EXPIRED"
