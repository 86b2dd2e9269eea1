Feature: Concurrent attempts of one request

  Scenario Outline: Results are returned in order of completion
    Given attempts that end after <first> and <second> ms
    Then the results come in the order <order>

    Examples:
      | first | second | order |
      | 5     | 40     | 0,1   |
      | 40    | 5      | 1,0   |

  Scenario: A response that arrives at the deadline is not lost
    Guards against losing a complete response when the deadline interrupts the wait for it.

    Given attempts that end after 5 and 500 ms
    When no task waits for a result for 40 ms
    Then the completed success is that of attempt 0

  Scenario: Attempts in flight can be cancelled
    Given attempts that end after 5 and 500 ms
    When no task waits for a result for 40 ms
    Then cancelling the running attempts cancels attempt 1

  Scenario: An error of an attempt is raised in the waiting task
    Given attempts that end after 5 and 500 ms
    And attempt 0 raises an error
    Then waiting for a result raises that error

  Scenario: All attempts are cancelled although the request is cancelled meanwhile
    Then two attempts that end slowly are both cancelled when their request is cancelled during the first

  Scenario: A cancelled round of load probes keeps no connection
    Then a probe that responds while its round is cancelled returns its connection to the pool
