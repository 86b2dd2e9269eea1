Feature: Entries have the current state soon after an outage of the store
  Guards against incident inc1: for seconds after the store was back, requests were handled by old routes.

  Scenario: Pattern "the store does not respond": a call that hangs does not delay the next state
    Then after silent outages of 3 to 10 s every entry applies a change within 2 s

  @known_red
  Scenario: Pattern "the store does not respond": entries do not wait for readers that were restarted
    Then after silent outages of 5 to 12 s in which all readers restart every entry applies a change within 2 s

  Scenario: An entry that learned of the end of an outage from a reader does not report it again later
    Given 6 entries in 3 zones that follow a store
    When the store does not respond to any entry for 3 s
    And 4 s pass
    And all readers are killed and a target is removed
    Then every running entry is without the target within 2 s
    And the steps pass when they are run

  Scenario: Pattern "the store does not respond": entries restarted in the outage do not stay with an old copy
    Then after silent outages of 5 to 12 s in which all entries restart every entry applies a change within 2 s
