Feature: Target selection avoids slow, failing and loaded targets

  Scenario Outline: A request never goes to an unlisted, disallowed or excluded target
    Then <policy> only selects listed, allowed targets that are not excluded

    Examples:
      | policy          |
      | random          |
      | round_robin     |
      | two_choices     |
      | least_in_flight |
      | expected_load   |

  Scenario Outline: A slow or failing target gets few requests until it recovers
    Then with <policy> a target that <fault> gets under 1 % of the requests
    And with <policy> a target that <fault> gets at least half of its fair share after it recovers

    Examples:
      | policy        | fault               |
      | random        | is ten times slower |
      | random        | fails at once       |
      | expected_load | is ten times slower |
      | expected_load | fails at once       |

  Scenario: Cancelled requests do not count against a target
    Then a target with cancelled requests is neither slow nor has requests in flight

  Scenario: A restart of a target resets its response times
    Then a target that was slow because of failures is not slow after a restart

  Scenario: A target is avoided while it has recently reported a high load
    Then expected_load selects a target with the lowest reported load
    And a target in the entry's own zone is preferred only at equal load
    And a new target is assumed to have the average load of the others

  Scenario: Load reports are parsed
    Then every load report that a target writes is parsed
    And text that is not a load report raises an error that contains the text

  Scenario: An event for an unknown target raises an error
    Then an event for a target that was never listed is rejected with an error that names it
