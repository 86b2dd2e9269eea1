Feature: The router chooses among the usable targets and avoids bad ones

  Scenario Outline: A request never goes to a target that may not get it
    Then <policy> only chooses listed, allowed targets that are not excluded

    Examples:
      | policy          |
      | random          |
      | round_robin     |
      | two_choices     |
      | least_in_flight |
      | expected_load   |

  Scenario Outline: A bad target loses its requests and gets them back when it recovers
    Then with <policy> a target that <fault> gets under 1 % of the requests
    And with <policy> a target that <fault> gets a fair share again after it recovers

    Examples:
      | policy          | fault                   |
      | random          | answers ten times later |
      | random          | fails at once           |
      | expected_load   | answers ten times later |
      | expected_load   | fails at once           |

  Scenario: Callers that give up do not discredit a target
    Then cancelled requests leave a target neither slow nor in use

  Scenario: A restarted target is not judged by the process before it
    Then a target set aside for its failures is usable at once when it restarts

  Scenario: A loaded target is avoided while its report is fresh
    Then expected_load avoids the targets that have just reported load
    And the entry's own zone is preferred among equals only
    And a new target is expected to be as loaded as the others

  Scenario: Load reports are read
    Then every load report that a target writes is read back
    And text that is not a load report is refused with an error that shows it

  Scenario: A wrong caller is told what is wrong
    Then an event for a target that was never listed is refused
