Feature: An entry that is asked to end notices it

  # A signal that interrupted a coroutine was lost, and the entry never drained.
  Scenario Outline: The request to end arrives <moment>
    Given a process that waits for a request to end
    When the request arrives <moment>
    Then the process notices it

    Examples:
      | moment                      |
      | while a coroutine runs      |
      | while the process is idle   |
      | before the process waits    |
      | twice                       |
