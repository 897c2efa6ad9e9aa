Feature: Except on open routes, a request runs only for the team whose key it carries (I2)

  Background:
    Given an applied configuration with these keys
      | id     | team   | secret         | withdrawn |
      | north  | school | fixture-north  | false     |
      | member | club   | fixture-member | false     |
      | old    | club   | fixture-old    | true      |
    And these routes
      | name    | method | path     | callers    |
      | hours   | GET    | /        | anyone     |
      | search  | GET    | /search  | every-team |
      | reserve | POST   | /reserve | school     |

  Scenario Outline: access depends on the key, the method and the path
    When a request for "<method> <path>" has the authorization "<authorization>"
    Then it runs for "<result>"

    Examples:
      | method | path             | authorization         | result              |
      | GET    | /hours           |                       | anyone              |
      | GET    | /search/a        | Bearer north.fixture-north   | school       |
      | GET    | /search/a        | Bearer member.fixture-member | club         |
      | POST   | /reserve         | Bearer north.fixture-north   | school       |
      | POST   | /reserve         | Bearer member.fixture-member | nobody: team-not-allowed |
      | GET    | /search/a        |                       | nobody: key-missing |
      | GET    | /search/a        | Bearer north.fixture-member  | nobody: key-unknown |
      | GET    | /search/a        | Bearer absent.fixture-north  | nobody: key-unknown |
      | GET    | /search/a        | Bearer old.fixture-old       | nobody: key-withdrawn |
      | GET    | /%73earch/a      |                       | nobody: key-missing |
      | GET    | /x/../search     |                       | nobody: malformed-request |
      | GET    | /x/%2e%2e/search |                       | nobody: malformed-request |
      | GET    | //search         |                       | nobody: malformed-request |
      | GET    | /reserve         | Bearer north.fixture-north   | nobody: route-unknown |
      | GET    | /hours           | Bearer absent.x       | anyone              |
      | GET    | /%2Eauburnhoist/addresses |              | the fleet itself    |
