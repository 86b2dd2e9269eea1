Feature: Processes of a run are started, awaited and ended
  A process that outlives its run would disturb later runs and keep its ports.

  Scenario Outline: Leaving a group ends every process
    Given a process group with a target that <state>
    When the group is left
    Then the process has ended within 8 s

    Examples:
      | state                   |
      | serves                  |
      | is stopped by a signal  |
      | has work of 60 s        |
      | has ended already       |

  Scenario: A target ends its work in flight before it ends
    Given a process group with a target that serves
    When a request of 300 ms is in flight and the target is asked to end
    Then the request gets a whole response
    And the process has ended within 8 s

  Scenario: A process that ends before it is ready is reported with its error output
    Given a process group
    When a target is started with a wrong option
    Then waiting for it fails and names the option

  Scenario: A runner that is asked to end takes its processes with it
    Given a runner with a target of its own
    When the runner is asked to end
    Then the target of the runner has ended within 8 s
