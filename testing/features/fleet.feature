Feature: Entries and targets as real processes
  Guards against faults that occur only when all components work together.

  Scenario: Cold targets warm up without overload
    Given 2 entries and 3 cold targets that need 300 ms of work to warm up
    When 300 requests of 30 ms arrive at 60/s
    Then no outcome is unknown and no response is broken
    And no target has failed under overload
    And at least 90 % of the requests get a complete response
    And every target received at least 10 requests

  Scenario: A draining target receives no new requests and loses none
    Given 2 entries and 3 open targets
    When 300 requests of 30 ms arrive at 60/s and a target drains after 1 s
    Then every request gets a complete response
    And the draining target received no request more than 3 s later

  Scenario: An entry finishes its requests after SIGTERM
    Given 2 entries and 3 open targets
    When 300 requests of 30 ms arrive at 60/s and an entry gets SIGTERM after 1 s
    Then no outcome is unknown and no response is broken
    And every request through the other entry gets a complete response
    And the entry has exited

  Scenario: A draining entry responds on idle connections before it closes them
    Given 2 entries and 3 open targets
    When an entry with an idle connection gets SIGTERM
    Then the idle connection receives an error response marked as not run
    And the entry has exited

  Scenario: When a target is killed, idempotent requests succeed and others run at most once
    Given 2 entries and 3 open targets
    When 300 requests of 30 ms arrive at 60/s and a target is killed after 1 s
    Then every idempotent request gets a complete response
    And no other request ran twice or was reported as not run after it ran

  Scenario: A target that restarts without traffic is not overloaded afterwards
    Given 2 entries and 3 open targets
    When a target restarts and 120 requests of 30 ms arrive at 120/s after 1 s
    Then no target has failed under overload
