Feature: Queue, budgets and ramp keep their limits for every sequence of events

  Scenario: Retries do not multiply the load of a failing service
    Then in every window retries stay within the percentage, the floor and the saved credit
    And a retry is allowed once the floor has accrued credit for it
    And all requests in flight at one target that dies may be retried

  Scenario: Probes do not overload a target, even when its coordinator changes
    Then in every window the probes of all coordinators stay within the probe budget
    And a coordinator that asks often may use its whole probe budget

  Scenario: A cold target is not overloaded
    Then the ramp allows at most the cold concurrency until a request succeeds
    And a failure resets the ramp to its first step
    And enough successes make the target warm, but not before the warm-up time

  Scenario: The admission queue is bounded, ordered and returns no expired request
    Then the admission queue keeps its bounds and loses no item
    And the admission queue returns the oldest unexpired item of the highest priority
    And the admission queue rejects an unexpired item only for lack of room

  Scenario: All entries together do not exceed the connection limit of a target
    Then connection shares sum to at most the limit and leave less than one unused per entry

  Scenario Outline: An invalid limit is rejected
    Then <limit> is rejected with an error that contains <value>

    Examples:
      | limit                              | value |
      | a probe rate of -1                 | -1    |
      | a retry percentage of -5           | -5    |
      | a connection share among 0 entries | 0     |
