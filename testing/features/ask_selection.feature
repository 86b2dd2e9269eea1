Feature: Which targets an entry asks first
  These scenarios guard against questions that cost more than they tell: new connections to ever other targets, and
  questions to other zones while targets of the own zone would answer well.

  Scenario Outline: The targets at the head of the order
    Given an entry in zone a with <own> targets in its zone and <other> in another
    And <state> of the targets in its zone are <kind>
    When it puts them in the order of asking with <policy> and 6 near ones
    Then the first <count> are in zone <zones>

    Examples:
      | policy     | own | other | state | kind      | count | zones |
      | zone_first | 40  | 120   | none  | cold      | 6     | a     |
      | zone_first | 2   | 20    | none  | cold      | 2     | a     |
      | zone_first | 5   | 20    | all   | cold      | 20    | b     |
      | zone_first | 5   | 20    | all   | suspended | 20    | b     |
      | zone_first | 0   | 20    | none  | cold      | 20    | b     |

  Scenario Outline: Pattern "one target slow by turns": all targets stay in the order once
    Given an entry in zone a with 8 targets in its zone and 9 in another
    When it puts them in the order of asking with <policy> and 6 near ones
    Then each target is in the order once

    Examples:
      | policy     |
      | near_first |
      | zone_first |

  Scenario Outline: Pattern "many entries, few requests each": an entry asks the same few targets again
    Given an entry in zone a with 40 targets in its zone and 120 in another
    When it puts them in the order of asking 30 times with <policy> and 6 near ones
    Then 5 questions each time go to at most 6 targets

    Examples:
      | policy     |
      | near_first |
      | zone_first |

  Scenario: Pattern "all entries of a zone": no target is close to far more entries than others
    Given 30 entries in zone a with 10 targets in their zone
    When each puts them in the order of asking with zone_first and 4 near ones
    Then each target is close to 4 to 24 entries
