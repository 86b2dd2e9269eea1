Feature: Child processes are started, awaited and terminated
  A process that outlives its run would disturb later runs and keep its ports.

  Scenario Outline: Leaving a process group terminates every process
    Given a process group with a target that <state>
    When the process group is left
    Then the process has exited within 8 s

    Examples:
      | state                           |
      | serves                          |
      | is stopped by SIGSTOP           |
      | has a request of 60 s in flight |
      | has exited already              |

  Scenario: A target completes its request in flight before it exits
    Given a process group with a target that serves
    When a request of 300 ms is in flight and the target gets SIGTERM
    Then the request gets a whole response
    And the process has exited within 8 s

  Scenario: A process that exits before it listens is reported with its error output
    Given a process group
    When a target is started with an invalid option
    Then waiting for it raises an error that names the option

  Scenario: A parent process that gets SIGTERM terminates its child processes
    Given a parent process that has started a target
    When the parent process gets SIGTERM
    Then the target of the parent process has exited within 8 s

  Scenario: The port for a process that starts later cannot be taken by an outgoing connection
    Then 200 free addresses have ports below those that the system assigns to connections
