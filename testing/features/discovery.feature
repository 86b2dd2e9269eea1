Feature: Catalog of routes and targets of an entry

  Scenario: An older publication does not replace newer routes
    Then for every order of publications the highest version is in force

  Scenario: Log events on zone orders do not overwrite the zone of the entry
    Then events on a zone order and on a target use no field name of the entry

  Scenario: The route with the longest matching prefix is chosen
    Then for every set of prefixes the route with the longest matching one is chosen

  Scenario Outline: Pattern "few requests for each of many entries": the fleet follows the weights of a split
    When <entries> entries that have just learned a split with the weights <weights> get <requests> requests each
    Then each service gets its weight of all requests, within 0.05

    Examples:
      | entries | weights       | requests |
      | 16      | 0.9, 0.1      | 20       |
      | 131     | 0.9, 0.1      | 3        |
      | 312     | 0.9, 0.1      | 1        |
      | 312     | 0.6, 0.4      | 1        |
      | 312     | 0.5, 0.3, 0.2 | 2        |
      | 1000    | 0.97, 0.03    | 4        |

  Scenario: Requests of a route are split by weight
    Then for every set of weights each service is off its share by at most the number of services

  Scenario Outline: Changes of a target
    Given a catalog with one target
    When a change is applied: <change>
    Then the catalog lists the target as <state>

    Examples:
      | change                                   | state      |
      | the target drains                        | not usable |
      | its registration is removed              | not usable |
      | its zone is taken out                    | not usable |
      | its zone is taken out and brought back   | usable     |
      | an older process registers under its id  | usable     |
      | a newer process registers under its id   | replaced   |
      | the same registration again              | usable     |

  Scenario: A target stays usable for a grace period if its registration lapsed in a store outage
    Given a catalog with one target
    When the store returns and reports that the registration is gone
    Then the target is usable for 2.2 s and removed after that

  Scenario: A target is kept if its registration is renewed soon after a store outage
    Given a catalog with one target
    When the store returns, reports that the registration is gone, and then a renewed one
    Then the target is still the same one after 10 s

  Scenario: A full snapshot removes what it does not contain
    Given a catalog with one target
    When a full snapshot without the target and the zones is applied
    Then the catalog lists the target as not usable

  Scenario: A snapshot restores the same state at another entry
    Then for every set of changes a catalog that gets the snapshot of another has the same state
