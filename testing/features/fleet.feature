Feature: Entries and targets as real processes
  These scenarios guard against faults of the whole path that the tests of its parts cannot show.

  Scenario: Cold targets are warmed without being overloaded
    Given 2 entries and 3 cold targets that need 300 ms of work to warm
    When 300 requests of 30 ms come at 60/s
    Then no outcome is unknown and no response is broken
    And no target has fallen over
    And at least 90 % of the requests are answered whole
    And every target got at least 10 requests

  Scenario: A target that drains gets no new work and loses no request
    Given 2 entries and 3 open targets
    When 300 requests of 30 ms come at 60/s and a target drains after 1 s
    Then every request is answered whole
    And the drained target got no request later than 3 s after

  Scenario: An entry that is asked to end finishes its requests
    Given 2 entries and 3 open targets
    When 300 requests of 30 ms come at 60/s and an entry is asked to end after 1 s
    Then no outcome is unknown and no response is broken
    And every request through the other entry is answered whole
    And the entry has ended

  Scenario: An entry that ends tells its idle connections that nothing was read
    Given 2 entries and 3 open targets
    When an entry with an idle connection is asked to end
    Then the idle connection is refused as not run before it closes
    And the entry has ended

  Scenario: A target that dies loses no idempotent request and runs no other one twice
    Given 2 entries and 3 open targets
    When 300 requests of 30 ms come at 60/s and a target is killed after 1 s
    Then every idempotent request is answered whole
    And no other request ran twice or was reported as not run after it ran

  Scenario: A target that restarts while no requests come is not overloaded
    Given 2 entries and 3 open targets
    When a target restarts and 120 requests of 30 ms come at 120/s after 1 s
    Then no target has fallen over
