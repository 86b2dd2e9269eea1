Feature: Order in which an entry probes targets
  These scenarios guard against wasteful load probes: new connections to a different set of targets each time, and
  probes of other zones while the own zone has good targets.

  Scenario Outline: The first targets in the probe order
    Given an entry in zone a with <own> targets in its zone and <other> in another
    And <state> of the targets in its zone are <kind>
    When it orders them for probing with <policy> and 6 near targets
    Then the first <count> are in zone <zones>

    Examples:
      | policy     | own | other | state | kind      | count | zones |
      | zone_first | 40  | 120   | none  | cold      | 6     | a     |
      | zone_first | 2   | 20    | none  | cold      | 2     | a     |
      | zone_first | 5   | 20    | all   | cold      | 20    | b     |
      | zone_first | 5   | 20    | all   | suspended | 20    | b     |
      | zone_first | 0   | 20    | none  | cold      | 20    | b     |
      | own_zone   | 40  | 120   | none  | cold      | 40    | a     |
      | own_zone   | 2   | 20    | none  | cold      | 2     | a     |
      | own_zone   | 5   | 20    | all   | suspended | 20    | b     |

  Scenario Outline: Pattern "one target slow by turns": the probe order contains each target once
    Given an entry in zone a with 8 targets in its zone and 9 in another
    When it orders them for probing with <policy> and 6 near targets
    Then each target is in the order once

    Examples:
      | policy     |
      | near_first |
      | zone_first |
      | own_zone   |

  Scenario Outline: Pattern "many entries, few requests each": an entry probes the same few targets
    Given an entry in zone a with 40 targets in its zone and 120 in another
    When it orders them for probing 30 times with <policy> and 6 near targets
    Then the first 5 of each order are among at most 6 targets

    Examples:
      | policy     |
      | near_first |
      | zone_first |

  Scenario: Pattern "all entries of a zone": no target is near to far more entries than others
    Given 30 entries in zone a with 10 targets in their zone
    When each orders them for probing with zone_first and 4 near targets
    Then each target is near to 4 to 24 entries
