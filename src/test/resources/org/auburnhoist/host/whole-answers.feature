Feature: A caller gets the whole answer to its own request (I6)
  Guards against truncated answers that look complete, and against late answers that reach the next request.

  Scenario: servers truncate answers and send them late to many callers
    Given 3 entry hosts in front of 3 servers
    And server "catalogue-1" truncates half of its answers
    And server "catalogue-2" sends half of its answers 400 ms late
    When 4 callers send 6 lookups and downloads each on open connections
    Then each complete answer is the whole answer to its own request
    And at least 100 answers were complete
