Feature: What an entry keeps by number is limited by size as well

  Scenario Outline: Memory does not grow with the size or the history of what an entry learns
    Guards against tables with a limit on their number whose items can be large, or with no limit at all.
    When <count> times this happens: <event>
    Then the entry has kept at most <limit_kb> KB

    Examples:
      | event                                             | count | limit_kb |
      | a target reports its load in 16 KB of text        | 1000  | 500      |
      | a subscriber gets an encoded update of 400 KB     | 20    | 1100     |
      | a configuration renames 50 routes, which are used | 100   | 500      |

  Scenario: The newest encoded update is kept whatever its size
    Then an encoded update of 3 MB is kept until the next one
