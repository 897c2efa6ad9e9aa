Feature: A server marked leaving gets no new work, and its running work finishes (I9)
  Guards against new work for a leaving server, and against work that is cut when a server starts to leave.

  Scenario: a server is marked leaving while it runs bookings
    Given 3 entry hosts in front of 3 servers
    And 6 bookings issued by host 1 run through host 2
    When server "catalogue-2" is marked leaving and the change is in force
    Then none of 20 requests through every host goes to server "catalogue-2"
    And the bookings are answered
    And one of them was answered by server "catalogue-2"
