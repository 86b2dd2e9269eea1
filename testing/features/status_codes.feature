Feature: A status code outside 100 to 599 is not a response
  Guards against a caller that gets such a response, and against a target that is used on the strength of one.

  Scenario Outline: A target whose response has status <status> is treated like one with a malformed response
    Given a gateway whose only target responds to requests with status <status>
    When the gateway gets a transfer and a lookup
    Then both get status 502, and the target ran the transfer once
    Given targets that behave as status <status>
    When a caller sends a non-idempotent request
    Then the caller gets 502 with outcome unknown
    And the targets received 1 requests and Failure were reported
    Given targets that behave as status <status>,healthy
    When a caller sends an idempotent request
    Then the caller gets 200 with outcome none

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  Scenario Outline: A load probe whose response has status <status> has failed
    Given a gateway whose only target responds to load probes with status <status>
    When the gateway gets a transfer and a lookup
    Then both get status 503, and the target ran the transfer 0 times
    And a health probe of the path of VM lists that gets status <status> reports no load

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
