Feature: The request path keeps its promises for generated traffic

  Scenario: Responses are never mixed or silently cut
    Then every reply is complete and its own, or says that it is not

  Scenario: Requests arrive as they were sent
    Then generated pipelined requests reach the target unchanged and in order

  Scenario: A non-idempotent request is written at most once to a target that may run it
    Then no generated failure makes a non-idempotent request reach a target after one may have run it

  Scenario: Not-run is said only when it is certain
    Then no request that a target accepted is reported as not run

  Scenario: Requests whose length is in doubt are refused
    Then no generated conflict of lengths reaches a target
