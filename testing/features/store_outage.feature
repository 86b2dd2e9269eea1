Feature: Entries have the current state soon after an outage of the store
  Guards against incident inc1: for seconds after the store was back, requests were handled by old routes.

  @known_red
  Scenario: Pattern "the store does not respond": a call that hangs does not delay the next state
    Then after silent outages of 3 to 10 s every entry applies a change within 2 s

  @known_red
  Scenario: Pattern "the store does not respond": entries do not wait for readers that were restarted
    Then after silent outages of 5 to 12 s in which all readers restart every entry applies a change within 2 s

  @known_red
  Scenario: Pattern "the store does not respond": an entry restarted in the outage does not stay with an old copy
    Then after silent outages of 5 to 12 s an entry that was restarted alone applies a change within 2 s
