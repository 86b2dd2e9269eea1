Feature: A process receives a stop signal at any time

  # A signal that interrupted a coroutine was lost, so that the entry never drained.
  Scenario Outline: The signal arrives <moment>
    Given a process that handles a stop signal
    When the signal arrives <moment>
    Then the process receives it

    Examples:
      | moment                    |
      | while a coroutine runs    |
      | while the process is idle |
      | before the process waits  |
      | twice                     |
