Feature: Limits hold for every sequence of events

  Scenario: Retries do not multiply the load of a failing service
    Then in every window retries stay within the percentage, the floor and the saved credit
    And a retry is granted after the floor has earned it
    And the requests in flight at one target that dies may all be retried

  Scenario: Probes do not overload a target, even when its coordinator changes
    Then in every window all owners together stay within the probe budget
    And an owner that asks often gets its whole probe budget

  Scenario: A cold target is not overrun
    Then the ramp allows at most the cold concurrency until a request succeeds
    And a failure returns the ramp to its first step
    And steady success makes the target warm, but not before the warm-up time

  Scenario: Waiting requests are bounded, in order and never late
    Then the admission queue keeps its bounds and loses no item
    And the admission queue hands out the first item of the highest priority that has not expired
    And the admission queue refuses an item only for lack of room

  Scenario: Entries together do not exceed the connections of a target
    Then connection shares sum to at most the limit and waste less than one per entry

  Scenario Outline: A limit that cannot be kept is refused
    Then <limit> is refused with an error that names <value>

    Examples:
      | limit                                | value |
      | a probe rate of -1                   | -1    |
      | a retry percentage of -5             | -5    |
      | a connection share among 0 entries   | 0     |
