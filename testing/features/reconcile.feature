Feature: Documents with diverged histories are merged without losing a change
  After a rewind of the store, two histories of publications grow from a common base.

  Scenario: Merging two histories
    Given two histories of publications from a common base, with publisher clocks that differ
    Then these invariants hold for all histories
      | invariant                                                                   |
      | the merged document contains every publication and has the highest version  |
      | the merged document is the same whichever document is in force              |
      | an item that one history changed has the content of that history            |
      | an item that both histories changed has the content published later         |
      | a peer's document is accepted only if it is higher and contains all changes |

  Scenario: Two histories give one host to two services
    Given a service "early" that one history gave the host "shared.example" at 10
    And a service "late" that the other history gave the host "shared.example" at 20
    Then only "late" has the host after merging
