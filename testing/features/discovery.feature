Feature: What an entry believes about routes and targets

  Scenario: Published routes never go back
    Then for every order of publications the highest version is in force

  Scenario: Orders on zones are logged beside the zone of the entry
    Then what the catalog tells of an order and of a target hides no field of the entry

  Scenario: The longest prefix of the host decides
    Then for every set of prefixes the route with the longest one that fits is chosen

  Scenario: Weights divide the requests of a route
    Then for every set of weights each service gets its share within one request

  Scenario Outline: News about a target
    Given a catalog with one target
    When news comes: <news>
    Then its state is <state>

    Examples:
      | news                                  | state      |
      | that it drains                        | not usable |
      | that it is gone                       | not usable |
      | that its zone was taken out           | not usable |
      | that its zone was taken out and back  | usable     |
      | an older start under its id           | usable     |
      | a restart under its id                | replaced   |
      | the same again                        | usable     |

  Scenario: Pattern "the store was away": a lapsed registration is used until it had time to return
    Given a catalog with one target
    When the store returns, and says that the target is gone
    Then it is usable for 2.2 s and dropped after that

  Scenario: Pattern "the store was away": a registration that returns in time is kept
    Given a catalog with one target
    When the store returns, says that the target is gone, and then that it is there
    Then it is still the same one after 10 s

  Scenario: A whole picture replaces what it lacks
    Given a catalog with one target
    When a whole picture comes without the target and the zones
    Then its state is not usable

  Scenario: A picture handed on is the same picture
    Then for every set of news a catalog that gets the snapshot of another believes the same
