Feature: Sends of one request that run at the same time

  Scenario Outline: Results are handed over in the order in which the sends end
    Given sends that end after <first> and <second> ms
    Then the results come in the order <order>

    Examples:
      | first | second | order |
      | 5     | 40     | 0,1   |
      | 40    | 5      | 1,0   |

  Scenario: A response that came at the deadline is still there
    This guards against losing a response that is ready when the deadline interrupts the wait.

    Given sends that end after 5 and 500 ms
    When nobody waits for 40 ms
    Then the ready success is that of send 0

  Scenario: The end of a race ends the sends on their way
    Given sends that end after 5 and 500 ms
    When nobody waits for 40 ms
    Then ending the race interrupts send 1

  Scenario: An error of a send reaches the task that waits
    Given sends that end after 5 and 500 ms
    And send 0 fails with an error
    Then waiting for a result raises that error
