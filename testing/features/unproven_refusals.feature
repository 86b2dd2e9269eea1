Feature: A status that promises "not run" is passed on only if the target states that it has not run the request
  Guards against a caller that sends a transfer again because a target which had run it failed with 503.

  Scenario Outline: A target that has run the request fails with a status that promises the opposite
    Given a gateway with these targets: <targets>
    When a caller sends it <request>
    Then it gets status <status>, and targets have run it <runs> times

    Examples:
      | targets                           | request    | status | runs |
      | failing_with_503                  | a transfer | 502    | 1    |
      | failing_with_429                  | a transfer | 502    | 1    |
      | failing_with_408                  | a transfer | 502    | 1    |
      | failing_with_503,failing_with_503 | a transfer | 502    | 1    |
      | failing_with_503                  | a lookup   | 502    | 1    |
      | failing_with_429,failing_with_429 | a lookup   | 502    | 2    |
      | failing_with_503,healthy          | a lookup   | 200    | 1-2  |
      | failing_with_408,healthy          | a lookup   | 200    | 1-2  |

  Scenario: The log tells such a response from a connection that ended
    Given a gateway with these targets: failing_with_503
    When a caller sends it a transfer
    Then the log has the outcome unproven-refusal of the attempt

  Scenario: A target that fails with such a status and leaves gets no further request
    Given a gateway with these targets: failing_with_503,healthy
    And the first target announces in responses that it leaves
    And the first target is preferred to the second
    When a caller sends lookups before and after nothing
    Then the first target got 1 requests in all, and the second all others

  Scenario: A target that fails with such a status and wants a pause gets no request until its end
    Given a gateway with these targets: failing_with_503,healthy
    And the first target wants a pause of 600 ms
    And the first target is preferred to the second
    When a caller sends lookups for 500 ms, and again after 1 s
    Then the first target got 1 request before, and at least 1 after

  Scenario Outline: What the attempts of a request show decides what its caller gets
    When the attempts of a request end as <outcomes>
    Then its caller gets <status>, and <at_deadline> if the time ends then

    Examples:
      | outcomes                   | status      | at_deadline |
      | not-run                    | the refusal | 503         |
      | not-run,not-run            | the refusal | 503         |
      | unproven-refusal           | 502         | 504         |
      | not-run,unproven-refusal   | 502         | 504         |
      | unproven-refusal,not-run   | 502         | 504         |
      | broken,not-run             | 502         | 504         |
      | failure,not-run            | 500         | 500         |
      | failure,unproven-refusal   | 500         | 500         |
      | unanswered                 | 502         | 504         |

  Scenario: A response that is passed on does not state that the request has not run
    Then the header that states it is dropped from a response of the target
