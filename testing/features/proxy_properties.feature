Feature: Properties of the request path with generated traffic

  Scenario: Responses are never mixed up, and truncation is always visible
    Then every response is complete and belongs to its request, or is visibly a failure

  Scenario: Requests reach the target unchanged
    Then generated pipelined requests reach the target unchanged and in order

  Scenario: A non-idempotent request is written at most once to a target that may run it
    Then no non-idempotent request is sent to a target after another one may have run it

  Scenario: A request is reported as not-run only if no target ran it
    Then no request that a target accepted is reported as not-run

  Scenario: Requests with an ambiguous length are rejected
    Then no request with generated conflicting lengths reaches a target
