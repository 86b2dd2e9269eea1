Feature: Request path to self-registered targets

  Scenario Outline: A caller gets a complete response or a status that tells whether its request may have run
    Given a gateway with these targets: <targets>
    When a caller sends it <request>
    Then it gets status <status>, and targets have run it <runs> times

    Examples: only an idempotent request is retried at another target after it may have run
      | targets               | request                  | status | runs |
      | healthy               | a lookup                 | 200    | 1    |
      | healthy               | a transfer               | 200    | 1    |
      | truncating            | a transfer               | 502    | 1    |
      | truncating            | a lookup                 | 502    | 1    |
      | truncating,healthy    | a lookup                 | 200    | 1-2  |
      | truncating,truncating | a transfer               | 502    | 1    |
      | malformed             | a transfer               | 502    | 1    |
      | malformed,healthy     | a lookup                 | 200    | 1-2  |
      | unsigned              | a lookup                 | 502    | 1    |
      | failing               | a transfer               | 500    | 1    |
      | failing,healthy       | a lookup                 | 200    | 1-2  |
      | failing,failing       | a lookup                 | 500    | 2    |
      | refusing              | a transfer               | 503    | 0    |
      | refusing,healthy      | a transfer               | 200    | 1    |
      | unresponsive          | a short-timeout transfer | 504    | 1    |
      | unresponsive          | a short-timeout lookup   | 504    | 1    |
      | healthy               | an unknown path          | 404    | 0    |

  Scenario: A late duplicate response is not used for the next request
    Given a gateway with these targets: duplicating
    When a caller sends it three lookups in turn
    Then each caller gets the response to its own request

  Scenario Outline: A refusal that the target sends again does not count for the next request, <detail>
    Given a gateway with these targets: <targets>
    And the first target is preferred to the second
    When the first target refuses a transfer and a caller sends another one
    Then the second transfer ran once and got status <status>

    Examples:
      | detail                                  | targets                              | status |
      | with the identifier of the refused one  | refusing_twice,healthy               | 200    |
      | without an identifier                   | refusing_twice_without_id,healthy    | 502    |

  Scenario: A response that ends within its head is not a success, wherever it is cut
    Given a gateway with these targets: cut_in_head
    When the target closes after each number of bytes of the response head to a transfer
    Then every transfer gets status 502

  Scenario: Pipelined requests run concurrently and get their responses in order
    Given a gateway with these targets: slow,slow,slow
    When a caller sends three lookups at once on one connection
    Then the responses arrive in order, in less than the time of two requests

  Scenario: A request is cancelled at its target when the caller disconnects
    Given a gateway with these targets: unresponsive
    When a caller sends a lookup and closes its connection
    Then the target's connection is closed within 500 ms

  Scenario: A target that responds to load probes but not to requests is suspended
    Given a gateway with these targets: unresponsive,healthy
    When a caller sends it 8 short-timeout lookups
    Then the first target got at most 1 of them

  Scenario Outline: An unusable target gets no requests
    Given a gateway with these targets: healthy,healthy
    And the first target is <state>
    When a caller sends it 12 lookups
    Then the first target got <count> of them

    Examples:
      | state                        | count |
      | draining                     | 0     |
      | in a zone that was taken out | 0     |
      | removed                      | 0     |
      | replaced at its address      | 0     |
      | cold                         | 0     |
      | slow now                     | 0     |
      | full                         | 0     |
      | reporting unhealthy          | 0     |

  Scenario: Pattern "only cold targets": all entries together keep the limit of a cold target
    Given a gateway that is one of 4 entries, with one cold target
    When a caller sends it 12 lookups at once
    Then the target got at most a quarter of the limit of a cold target

  Scenario: Pattern "crowd before a release has warmed up": a cold target is used when the other is busy
    Given a gateway with these targets: healthy,healthy
    And the first target is busy
    And the second target is cold
    When a caller sends it a lookup
    Then the second target ran it without waiting

  Scenario: Pattern "crowd before a cold and slow target": the request waits for the warm target
    Given a gateway with these targets: healthy,healthy
    And the target is busy for 100 ms
    And the second target is cold and slow now
    When a caller sends it a lookup
    Then it is served after the target has free slots again, and the log has the wait

  Scenario: Pattern "many requests at once": all entries together keep a target's connection limit
    Given a gateway that is one of 4 entries, with one target that accepts 20 connections
    When a caller sends it 6 lookups at once
    Then all of them are served over at most 3 connections

  Scenario: Pattern "one target loses its answers": an overdue idempotent request is hedged
    Given a gateway with these targets: unresponsive,healthy
    And the first target is preferred to the second
    And hedges of up to 100 percent, with the usual response times known
    When a caller sends it a lookup
    Then the second target ran it within 600 ms, and the log has the first as superseded

  Scenario: Pattern "targets lose answers and repeats are spent": no hedge is sent without a retry budget
    Given a gateway without retry budget, with these targets: slow,healthy
    And the first target is preferred to the second
    And hedges of up to 100 percent, with the usual response times known
    When a caller sends it a lookup
    Then only the first target got it, 1 time

  Scenario: Pattern "one target loses its answers": a non-idempotent request is not hedged
    Given a gateway with these targets: slow,healthy
    And the first target is preferred to the second
    And hedges of up to 100 percent, with the usual response times known
    When a caller sends it a transfer
    Then only the first target got it, 1 time

  Scenario: Pattern "a crowd uses up the load probes": requests go by recent readings while targets have room
    Given a gateway whose targets take 10 probes in 12 s, with these targets: healthy,healthy
    When a caller sends it 60 lookups
    Then all of them are served after at most 20 probes, and both targets ran some

  Scenario: Pattern "a crowd uses up the load probes": a target that has turned slow is left by its next reading
    Given a gateway whose targets take 10 probes in 12 s, with these targets: healthy,healthy
    And the first target is slow now
    When a caller sends it 60 lookups
    Then the first target got at most 2 of them

  Scenario: Pattern "all targets crowded": requests wait instead of overloading the targets
    Given a gateway with these targets: healthy
    And the target is busy for 100 ms
    When a caller sends it a lookup
    Then it is served after the target has free slots again, and the log has the wait

  Scenario: Pattern "no place in time": a request without a usable target is refused before its deadline
    Given a gateway with these targets: healthy
    And the target stays full
    When a caller sends it a transfer
    Then it gets status 503 with a Retry-After header, and no target ran it

  Scenario: An entry without routes responds that it is unavailable, not that the route is unknown
    Given a gateway without routes
    When a caller sends it a lookup
    Then it gets status 503 with a Retry-After header, and no target ran it

  Scenario: An internal error of the entry closes the connection at once
    Given a gateway with these targets: healthy
    And classifying responses raises an unexpected error
    When a caller sends it a transfer and waits for the end of the connection
    Then the connection ended within 500 ms

  Scenario: The log explains a failed request by its id
    Given a gateway with these targets: truncating
    When a caller sends it a transfer
    Then the log has the choice, the attempt with its load reading and reason, and the end of the request

  Scenario: The log tells which requests were equal if their connections ended without a response
    Given a gateway with these targets: cut_in_head
    When a caller sends it two equal lookups and a transfer
    Then the log has the same fingerprint for both and another one for the third

  Scenario: An attempt without a response in time is logged
    Given a gateway with these targets: unresponsive
    When a caller sends it a short-timeout transfer
    Then the log has an unanswered attempt and the end of the request with status 504

  Scenario: A caller that disconnects is logged
    Given a gateway with these targets: unresponsive
    When a caller sends a lookup and closes its connection
    Then the log has an unanswered attempt and the end of the request with status 0
