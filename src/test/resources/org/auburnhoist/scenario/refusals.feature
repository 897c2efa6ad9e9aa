Feature: Refusals tell whether the request may have run

  Scenario Outline: a refusal's outcome matches its meaning
    Then the refusal "<code>" has status <status> and outcome "<outcome>"

    Examples:
      | code              | status | outcome |
      | rate-exceeded     | 429    | not-run |
      | key-withdrawn     | 401    | not-run |
      | operation-unknown | 409    | unknown |
      | upstream-timeout  | 504    | unknown |
