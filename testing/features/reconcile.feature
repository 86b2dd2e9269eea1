Feature: Documents of two lines are combined without losing a change
  A rewind of the store lets two lines of publications grow from a common base.

  Scenario: Combining two lines
    Given two lines of publications from a common base, with publisher clocks that differ
    Then for all lines
      | guarantee                                                              |
      | the combination contains every publication and has the highest version |
      | it is the same whichever line is in force                              |
      | an item that one line changed has the content of that line             |
      | an item that both lines changed has the content published later        |
      | a peer's document is taken only if it is higher and lacks nothing      |

  Scenario: Two lines give one host to two services
    Given a service "early" that one line gave the host "shared.example" at 10
    And a service "late" that the other line gave the host "shared.example" at 20
    Then only "late" has the host after combining
