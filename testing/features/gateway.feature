Feature: Requests to targets that register themselves

  Scenario Outline: A caller gets a whole response or learns what became of its request
    Given a gateway before targets that behave as <targets>
    When a caller sends it <request>
    Then it gets status <status>, and <runs> runs are known to targets

    Examples: an idempotent request goes to another target, one that must not run twice does not
      | targets         | request             | status | runs |
      | well            | a lookup            | 200    | 1    |
      | well            | a transfer          | 200    | 1    |
      | cutting         | a transfer          | 502    | 1    |
      | cutting         | a lookup            | 502    | 1    |
      | cutting,well    | a lookup            | 200    | 1-2  |
      | cutting,cutting | a transfer          | 502    | 1    |
      | garbling        | a transfer          | 502    | 1    |
      | garbling,well   | a lookup            | 200    | 1-2  |
      | unsigned        | a lookup            | 502    | 1    |
      | failing         | a transfer          | 500    | 1    |
      | failing,well    | a lookup            | 200    | 1-2  |
      | failing,failing | a lookup            | 500    | 2    |
      | refusing        | a transfer          | 503    | 0    |
      | refusing,well   | a transfer          | 200    | 1    |
      | silent          | a hurried transfer  | 504    | 1    |
      | silent          | a hurried lookup    | 504    | 1    |
      | well            | an unknown path     | 404    | 0    |

  Scenario: A late second answer does not become the answer to the next request
    Given a gateway before targets that behave as doubling
    When a caller sends it three lookups in turn
    Then each caller gets the answer to its own request

  Scenario: Requests on one connection run at the same time and are answered in order
    Given a gateway before targets that behave as slow,slow,slow
    When a caller sends three lookups at once on one connection
    Then the answers come in order, in less than the time of two

  Scenario: A target stops working on a request whose caller has gone
    Given a gateway before targets that behave as silent
    When a caller sends a lookup and closes its connection
    Then the target's connection is closed within 500 ms

  Scenario: A target that answers questions but no requests is left alone for a while
    Given a gateway before targets that behave as silent,well
    When a caller sends it 8 hurried lookups
    Then the first target got at most 1 of them

  Scenario Outline: A target that must not get work gets none
    Given a gateway before targets that behave as well,well
    And the first target is <state>
    When a caller sends it 12 lookups
    Then the first target got <count> of them

    Examples:
      | state                         | count |
      | draining                      | 0     |
      | in a zone that was taken out  | 0     |
      | gone                          | 0     |
      | replaced at its address       | 0     |
      | cold                          | 0     |
      | slow now                      | 0     |
      | full                          | 0     |
      | calling itself ill            | 0     |

  Scenario: Pattern "only cold targets": no more than they bear, summed over all entries
    Given a gateway of 4 entries before one cold target
    When a caller sends it 12 lookups at once
    Then the target got at most a quarter of what a cold target bears

  Scenario: Pattern "crowd before a release has warmed up": a cold target helps a crowded one
    Given a gateway before targets that behave as well,well
    And the first target is crowded
    And the second target is cold
    When a caller sends it a lookup
    Then the second target ran it without a wait

  Scenario: Pattern "crowd before a cold and slow target": the request waits for the warm one
    Given a gateway before targets that behave as well,well
    And the target is crowded for 100 ms
    And the second target is cold and slow now
    When a caller sends it a lookup
    Then it is served after the target has room again, and the wait is in the log

  Scenario: Pattern "many requests at once": entries together keep a target's connections
    Given a gateway of 4 entries before one target that bears 20 connections
    When a caller sends it 6 lookups at once
    Then all of them are served over at most 3 connections

  Scenario: Pattern "one target loses its answers": an idempotent request is sent to a second one in time
    Given a gateway before targets that behave as silent,well
    And the first target looks better than the second
    When a caller sends it a lookup
    Then the second target ran it within 600 ms, and the log says that it was first

  Scenario: Pattern "targets lose answers and repeats are spent": the request stays where it is
    Given a gateway without repeats before targets that behave as slow,well
    And the first target looks better than the second
    When a caller sends it a lookup
    Then the first target got all 1 of it

  Scenario: Pattern "one target loses its answers": a request that must run once stays where it is
    Given a gateway before targets that behave as slow,well
    And the first target looks better than the second
    When a caller sends it a transfer
    Then the first target got all 1 of it

  Scenario: Pattern "all targets crowded": requests wait for a good place instead of crowding
    Given a gateway before targets that behave as well
    And the target is crowded for 100 ms
    When a caller sends it a lookup
    Then it is served after the target has room again, and the wait is in the log

  Scenario: Pattern "no place in time": a request that finds none is refused before its deadline
    Given a gateway before targets that behave as well
    And the target stays full
    When a caller sends it a transfer
    Then it gets status 503 with the time to come back, and no target ran it

  Scenario: An entry that knows no routes yet refuses and does not deny
    Given a gateway that knows no routes
    When a caller sends it a lookup
    Then it gets status 503 with the time to come back, and no target ran it

  Scenario: A fault of the entry itself ends the connection at once
    Given a gateway before targets that behave as well
    And reading responses fails with an unexpected error
    When a caller sends it a transfer and waits for the end of the connection
    Then the connection ended within 500 ms

  Scenario: The log leads from a request's id to its cause
    Given a gateway before targets that behave as cutting
    When a caller sends it a transfer
    Then the log has the choice, the send with its reading and reason, and the end of the request

  Scenario: The log tells of a send that got no response in time
    Given a gateway before targets that behave as silent
    When a caller sends it a hurried transfer
    Then the log has an unanswered send and the end of the request with status 504

  Scenario: The log tells of a caller that went away
    Given a gateway before targets that behave as silent
    When a caller sends a lookup and closes its connection
    Then the log has an unanswered send and the end of the request with status 0
