Feature: Operators who change the configuration at the same time do not overwrite each other

  Background:
    Given "teams.yaml" is applied with a burst of 10

  Scenario: one of two concurrent changes is accepted, and the other operator is told of the conflict
    Given Amina and Karim have both seen version 1
    When Karim applies "teams.yaml" with a burst of 20 while Amina applies it with a burst of 30
    Then Karim's change is accepted as version 2
    And Amina is told of a conflict with version 2 by "karim"
    And the burst in force is 20

  Scenario: the operator whose change was refused applies it again to the new version
    Given Amina and Karim have both seen version 1
    When Karim applies "teams.yaml" with a burst of 20 while Amina applies it with a burst of 30
    And Amina applies "teams.yaml" with a burst of 30 to version 2
    Then the burst in force is 30
    And the history names "karim" for version 2 and "amina" for version 3
