Feature: An entry that is stopped responds to every request that it has read
  Guards against requests that are taken late in the grace period and cut off when the process ends.

  Scenario Outline: A request that is sent <delay_s> s after the stop signal gets status <status>
    Given an entry with a grace period of 4.5 s, and a target that works for 1.4 s
    When a caller sends a lookup 2.2 s after the stop signal, and behind it a <request> after <delay_s> s
    Then the caller gets status 200 for the first and status <status> for the second
    And the target has run <runs> requests

    Examples:
      | request  | delay_s | status | runs |
      | lookup   | 2.3     | 200    | 2    |
      | lookup   | 3.4     | 503    | 1    |
      | transfer | 2.3     | 503    | 1    |
      | transfer | 3.4     | 503    | 1    |

  Scenario Outline: A <request> at which its target works for longer than the grace period gets status 504
    Given an entry with a grace period of 4.5 s, and a target that works for 30 s
    When a caller sends a <request> 0.5 s after the stop signal
    Then the caller gets status 504 before the process ends

    Examples:
      | request  |
      | lookup   |
      | transfer |
