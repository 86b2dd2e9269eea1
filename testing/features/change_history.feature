Feature: Entries keep recent changes for others that lag behind, within a limit on their size

  Scenario Outline: Pattern "configurations in quick succession": the memory of an entry does not grow with their number
    Guards against a fleet whose entries all exceed the memory of their machines after some hours of changes.
    Given an entry that gets <count> changes of <kind>
    Then they take at most 4 MB of memory

    Examples:
      | kind                                  | count |
      | a configuration of 800 routes         | 200   |
      | 100 registrations with long texts     | 200   |
      | a configuration and 100 registrations   | 200   |

  Scenario: An entry that lags behind by a whole storm gets the newest configuration and each other change
    Given an entry that gets 200 changes of a configuration of 800 routes
    Then an entry that has all but the last 150 changes gets one configuration, the newest, and is up to date
    And an entry without any state gets a full snapshot and is up to date

  Scenario: An entry that lags behind is not told of an outage whose time for renewals is over
    Given an entry that learned from a reader of the end of an outage, and of a removal 100 ms before its time ended
    When the time for renewals has ended
    Then an entry that lacks the removal drops the target at once

  Scenario: What a lagging entry gets does not depend on what was dropped
    Then for every series of changes, limit and position an entry that lags behind reaches the same state
